"""The base class of events, and the registry of event classes."""

from typing import TypeVar

import msgspec

from rackswitch.registry import Registry

__all__ = ["EVENTS", "Event"]


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """Base class of events; each is one line of the decision log."""

    @property
    def is_routine(self) -> bool:
        """Whether the line may be folded into a count under load."""
        return False


EVENTS: Registry[type[Event]] = Registry("event")
"""Event classes by tag."""

EventT = TypeVar("EventT", bound=type[Event])


def register_event(event_class: EventT) -> EventT:
    """Register an event class under its tag."""
    EVENTS.register(str(event_class.__struct_config__.tag))(event_class)
    return event_class
