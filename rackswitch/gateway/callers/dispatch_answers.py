"""The result of a call that was sent to targets."""

from dataclasses import dataclass

from rackswitch.outcomes import MayHaveRun, NotRun
from rackswitch.requests import TargetAnswer, TargetStream
from rackswitch.routing import ListedTarget, TargetEstimate

__all__ = ["DispatchAnswer", "DispatchOutcome", "outcome_label"]

DispatchOutcome = TargetAnswer | TargetStream | NotRun | MayHaveRun


def outcome_label(outcome: DispatchOutcome) -> str:
    """Return a short text of an outcome for logs."""
    if isinstance(outcome, NotRun):
        return f"not run: {outcome.detail}"
    if isinstance(outcome, MayHaveRun):
        return f"may have run: {outcome.detail}"
    return str(outcome.status)


@dataclass(frozen=True, slots=True)
class DispatchAnswer:
    """The result of a call.

    Attributes
    ----------
    outcome : DispatchOutcome
        The answer, or why there is none.
    attempts : int
        How many times the call was sent.
    failures : int
        Answers with status 500.
    target : ListedTarget or None
        The target that answered.
    estimate : TargetEstimate or None
        Load estimate of the answering target when it was chosen; None if the service's targets
        report no pace.
    """

    outcome: DispatchOutcome
    attempts: int
    failures: int
    target: ListedTarget | None = None
    estimate: TargetEstimate | None = None

    @property
    def instance(self) -> str:
        """Instance of the target that answered; empty if none did."""
        return self.target.instance if self.target is not None else ""
