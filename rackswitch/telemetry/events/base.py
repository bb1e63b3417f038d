"""What every logged event is, and the names that log lines carry."""

from typing import TypeVar

import msgspec

from rackswitch.registry import Registry

__all__ = ["EVENTS", "Event"]


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """One line of the log."""

    @property
    def is_routine(self) -> bool:
        """Whether the line may be folded into a count under load."""
        return False


EVENTS: Registry[type[Event]] = Registry("event")
"""All kinds of events, by the name that their lines carry."""

EventT = TypeVar("EventT", bound=type[Event])


def registered(kind: EventT) -> EventT:
    """File an event class under the name that its lines carry."""
    EVENTS.register(str(kind.__struct_config__.tag))(kind)
    return kind
