"""State of a call while it is being dispatched."""

from dataclasses import dataclass

from rackswitch.admission import AdmissionRequest
from rackswitch.gateway.callers.cold_call_queue import HeldCall
from rackswitch.gateway.callers.dispatch_answers import DispatchAnswer, DispatchOutcome
from rackswitch.outcomes import NotRun
from rackswitch.requests import AttemptLog, Call, TargetAnswer
from rackswitch.routing import ListedTarget, TargetEstimate
from rackswitch.table import RouteRow

__all__ = ["CallState", "Hold"]


@dataclass(slots=True)
class CallState:
    """State of one call in progress.

    Attributes
    ----------
    route : RouteRow
        The route in force when the call arrived.
    deadline_seconds : float
        Deadline of the caller or the route (event loop time).
    log : AttemptLog
        The attempts so far.
    as_stream : bool
        Whether a successful answer is returned as soon as its head has been received.
    service : str
        The service whose targets may serve the call.
    allowed_regions : frozenset of str or None
        Regions in which the call may run; None for all.
    admission_request : AdmissionRequest or None
        The admission request; None for a call that needs no admission.
    held_call : HeldCall
        Its place among the calls that wait for cold targets.
    is_reward : bool
        Whether it is the reward call of an item.
    failures : int
        Answers with status 500.
    last_failure : (TargetAnswer, ListedTarget) or None
        The last answer with status 500 or above.
    is_admitted : bool
        Whether the call counts as in flight at the service.
    """

    route: RouteRow
    call: Call
    deadline_seconds: float
    log: AttemptLog
    as_stream: bool
    service: str
    allowed_regions: frozenset[str] | None
    admission_request: AdmissionRequest | None
    held_call: HeldCall
    is_reward: bool = False
    failures: int = 0
    last_failure: tuple[TargetAnswer, ListedTarget] | None = None
    is_admitted: bool = False

    def answer(
        self,
        outcome: DispatchOutcome,
        target: ListedTarget | None = None,
        unlogged_attempts: int = 0,
        place: TargetEstimate | None = None,
    ) -> DispatchAnswer:
        """Return the final answer; `unlogged_attempts` are added to those in the log."""
        return DispatchAnswer(
            outcome, len(self.log.ends) + unlogged_attempts, self.failures, target, place
        )


@dataclass(frozen=True, slots=True)
class Hold:
    """A request that the quarantine holds back.

    Attributes
    ----------
    refusal : NotRun or None
        The answer to the caller; None if an earlier attempt may have run.
    """

    refusal: NotRun | None
