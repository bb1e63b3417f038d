"""Events of trainers' samples in the stand-alone deployment."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = [
    "LedgerLoaded",
    "SampleEnded",
]


@register_event
class LedgerLoaded(Event, tag="ledger loaded", frozen=True):
    """This daemon loaded a trainer's ledger and manages it from now on."""

    trainer: str
    fencing: int


@register_event
class SampleEnded(Event, tag="sample ended", frozen=True):
    """An order for one sample ended."""

    trainer: str
    step: int
    index: int
    attempt: int
    elapsed_seconds: float
    outcome: str

    @property
    def is_routine(self) -> bool:
        """Whether the sample was made."""
        return self.outcome == "made"
