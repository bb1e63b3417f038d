"""What is logged of trainers' samples in the stand-alone deployment."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = [
    "LedgerLoaded",
    "SampleEnded",
]


@registered
class LedgerLoaded(Event, tag="ledger loaded", frozen=True):
    """This daemon keeps a trainer's ledger from now on."""

    trainer: str
    fencing: int


@registered
class SampleEnded(Event, tag="sample ended", frozen=True):
    """The end of an order for one sample."""

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
