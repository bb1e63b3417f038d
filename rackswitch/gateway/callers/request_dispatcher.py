"""Sending calls to targets: admission, choice of the target, retries and give-up."""

import asyncio
import math
import time
from collections.abc import Sequence

from rackswitch.admission import LEAST_URGENT_RANK, REWARD_RANK, AdmissionRequest, PatienceEstimate
from rackswitch.gateway.callers.call_admission import CallAdmission, NoTarget, TargetEstimateLookup
from rackswitch.gateway.callers.call_state import CallState, Hold
from rackswitch.gateway.callers.cold_call_queue import ColdCallQueue, HeldCall
from rackswitch.gateway.callers.dispatch_answers import DispatchAnswer
from rackswitch.gateway.callers.target_choice import CALL_COST_TOKENS, TargetChooser
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.outcomes import MayHaveRun, NotRun, NotRunReason
from rackswitch.platform.target_calls import TargetClient
from rackswitch.requests import (
    AttemptEnd,
    AttemptLog,
    Call,
    OutageTracker,
    TargetAnswer,
    TargetFailed,
    TargetStream,
    attempt_deadline_seconds,
    retry_delay_seconds,
)
from rackswitch.routing import ListedTarget, TargetEstimate, WorkKind
from rackswitch.table import Handling, RouteRow
from rackswitch.telemetry.events import AttemptFailed, TargetsExcluded

__all__ = ["RequestDispatcher"]

MAX_REFUSALS = 8
"""Maximum number of target refusals before the request itself is refused."""

REFUSED_RETRY_DELAY_SECONDS = 0.02
"""Delay after a target refused a call that does not go through admission."""

CALL_SMOOTHING = 0.1
"""Weight of one call in the moving average of its service's call time."""

SLOW_CALL_FACTOR = 2.0
"""Ratio to the typical call time above which a target is no longer preferred for its open
connection."""

INITIAL_CALL_SECONDS = 0.05
"""Typical call time of a service before its first answer."""


def no_estimates(service: str) -> Sequence[TargetEstimate]:
    """Return no estimates, for a dispatcher without load estimates."""
    return ()


class RequestDispatcher:
    """Sends calls to targets and retries them where that is safe.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    chooser : TargetChooser
        Chooses targets.
    targets : TargetClient
        Sends the HTTP requests.
    quarantine : QuarantineManager
        Holds back requests under which targets end.
    estimates_of : callable, optional
        Returns the load estimates of a service's targets; none by default.
    """

    __slots__ = (
        "_call_seconds",
        "_chooser",
        "_cold_calls",
        "_context",
        "_outages",
        "_patience",
        "_quarantine",
        "_service_admission",
        "_targets",
    )

    def __init__(
        self,
        context: GatewayContext,
        chooser: TargetChooser,
        targets: TargetClient,
        quarantine: QuarantineManager,
        estimates_of: TargetEstimateLookup = no_estimates,
    ):
        self._quarantine = quarantine
        self._context = context
        self._chooser = chooser
        self._targets = targets
        self._cold_calls = ColdCallQueue(context, chooser.is_held)
        self._service_admission = CallAdmission(context, estimates_of)
        self._patience = PatienceEstimate()
        self._call_seconds: dict[str, float] = {}
        self._outages: dict[tuple[str, frozenset[str] | None], OutageTracker] = {}

    def new_log(self, route: RouteRow) -> AttemptLog:
        """Return a new attempt log with the limits of a route."""
        repeatable = route.handling is Handling.REPEATABLE or route.resumable
        return AttemptLog(repeatable, max_attempts=route.most_attempts, max_refusals=MAX_REFUSALS)

    async def call(
        self,
        route: RouteRow,
        call: Call,
        deadline_seconds: float,
        log: AttemptLog,
        as_stream: bool = False,
        reward_of: str | None = None,
    ) -> DispatchAnswer:
        """Serve one call.

        Parameters
        ----------
        route : RouteRow
            The route in force when the call arrived.
        call : Call
            The call.
        deadline_seconds : float
            Deadline of the caller or the route (event loop time).
        log : AttemptLog
            The request's attempts so far; not empty for a stream that is resumed.
        as_stream : bool
            Whether to return a successful answer as soon as its head has been received.
        reward_of : str or None
            The tenant whose step waits for this reward call; None for a caller's own call.
        """
        service = self._chooser.draw_choice(route).serves
        # A reward call carries no tenant of its own, but its step's tenant restricts it too.
        tenant = call.caller.tenant if reward_of is None else reward_of
        allowed_regions = self._context.allowed_regions(route, tenant)
        now_seconds = self._context.now_seconds()
        latest_send_seconds = deadline_seconds
        if reward_of is None:
            latest_send_seconds = min(deadline_seconds, now_seconds + route.goal_seconds)
        rank = self._rank(route, call, reward_of)
        held_call = HeldCall(rank, now_seconds, latest_send_seconds)
        state = CallState(
            route,
            call,
            deadline_seconds,
            log,
            as_stream,
            service,
            allowed_regions,
            None,
            held_call,
            is_reward=reward_of is not None,
        )
        if self._context.settings.queues_calls and not as_stream:
            state.admission_request = self._admission_request(state, reward_of)
        try:
            return await self._serve(state)
        finally:
            self._release(state)

    async def _serve(self, state: CallState) -> DispatchAnswer:
        while state.log.may_begin():
            target = await self._next_target(state)
            if isinstance(target, NotRun):
                return state.answer(target)
            if target is None:
                break
            answer = await self._try_target(state, target)
            if answer is not None:
                return answer
        if state.last_failure is not None:
            return state.answer(*state.last_failure)
        return state.answer(self._give_up(state))

    async def _next_target(self, state: CallState) -> ListedTarget | NotRun | None:
        """Wait until a call may be sent; return its target, its refusal, or None for no target."""
        target: ListedTarget | None = None
        if not self._chooser.is_held(state.service, state.allowed_regions):
            target = self._pick(state)
            if target is None:
                return None
        if state.admission_request is not None:
            # A request that is held back must not take up the service's capacity.
            hold = await self._check_quarantine(state, may_claim=False)
            if hold is not None:
                return hold.refusal
            refusal = await self._admit(state, state.admission_request)
            if refusal is not None or not state.is_admitted:
                return refusal if isinstance(refusal, NotRun) else None
            # Chosen again, as the call may have waited.
            target = None
        if target is None:
            cold_refusal = await self._wait_while_held(state)
            if cold_refusal is not None:
                return None if state.log.may_have_run else cold_refusal
            target = self._pick(state)
            if target is None:
                return None
        # Last, as this may claim a trial and the request must then be sent.
        hold = await self._check_quarantine(state, may_claim=True)
        if hold is not None:
            return hold.refusal
        return self._recheck(state, target)

    def _recheck(self, state: CallState, target: ListedTarget) -> ListedTarget | None:
        """Return the target to send a call to now: another one if the chosen one is excluded.

        The call may have waited since the target was chosen.
        """
        if self._context.directory.may_receive(target, state.allowed_regions):
            return target
        another_target = self._pick(state)
        if another_target is None:
            self._quarantine.record_not_run(state.call.fingerprint)
        return another_target

    async def _wait_while_held(self, state: CallState) -> NotRun | None:
        """Wait while all targets are too cold for a call; return its refusal, if it is refused."""
        while self._chooser.is_held(state.service, state.allowed_regions):
            refusal = await self._cold_calls.wait(
                state.service, state.allowed_regions, state.held_call
            )
            if refusal is not None:
                return refusal
        return None

    async def _check_quarantine(self, state: CallState, may_claim: bool) -> Hold | None:
        """Return the hold on a request, or None if it may be sent."""
        fingerprint_of, deadline_seconds = state.call.fingerprint, state.deadline_seconds
        if state.is_reward:
            hold = await self._quarantine.admit_item(fingerprint_of, deadline_seconds)
        else:
            hold = await self._quarantine.admit(fingerprint_of, deadline_seconds, may_claim)
        if hold is None:
            return None
        if state.log.may_have_run:
            return Hold(None)
        return Hold(NotRun(NotRunReason.HELD_BACK, hold.detail, hold.until_seconds))

    def _rank(self, route: RouteRow, call: Call, reward_of: str | None) -> int:
        """Return a call's rank; 0 is served first."""
        if reward_of is not None:
            return REWARD_RANK
        return min(LEAST_URGENT_RANK, call.caller.rank(route.caller_class))

    def _admission_request(self, state: CallState, reward_of: str | None) -> AdmissionRequest:
        """Return a call's admission request."""
        route, call, deadline_seconds = state.route, state.call, state.deadline_seconds
        now_seconds = self._context.now_seconds()
        latency_target_at_seconds = min(deadline_seconds, now_seconds + route.goal_seconds)
        is_reward = reward_of is not None
        return AdmissionRequest(
            request_id=call.request_id,
            kind=route.name,
            tenant=call.caller.tenant if reward_of is None else reward_of,
            rank=self._rank(route, call, reward_of),
            body_bytes=len(call.body),
            arrived_seconds=now_seconds,
            # A step waits for all of its reward calls, so a single one has no latency target.
            latency_target_at_seconds=deadline_seconds if is_reward else latency_target_at_seconds,
            deadline_seconds=deadline_seconds,
            is_retry=not is_reward
            and self._patience.record_and_check_retry(route.name, deadline_seconds - now_seconds),
            allowed_regions=state.allowed_regions,
        )

    async def _admit(
        self, state: CallState, admission_request: AdmissionRequest
    ) -> NotRun | NoTarget | None:
        """Admit a call: the first attempt, one after a refusal, or a retry after a failure."""
        last_attempt = state.log.ends[-1] if state.log.ends else None
        if last_attempt is not None and last_attempt.may_have_run:
            state.is_admitted = self._service_admission.admit_retry(
                state.service, admission_request
            )
            return None
        if last_attempt is None:
            refusal = await self._service_admission.admit(state.service, admission_request)
        else:
            refusal = await self._service_admission.readmit(state.service, admission_request)
        state.is_admitted = refusal is None
        if isinstance(refusal, NotRun) and state.log.may_have_run:
            # An earlier attempt may have run, so the answer must not be `NotRun`.
            return NoTarget()
        return refusal

    def _release(self, state: CallState) -> None:
        """Count a call out of its service if it is still counted in."""
        if state.is_admitted and state.admission_request is not None:
            state.is_admitted = False
            self._service_admission.record_end(state.service, state.admission_request)

    async def _try_target(self, state: CallState, target: ListedTarget) -> DispatchAnswer | None:
        """Send a call once; return the final answer, or None if it may be sent again."""
        call, log = state.call, state.log
        log.check_may_begin()
        if not self._context.cold_sends.try_send(target, WorkKind.CALL, call.request_id):
            # Another call was sent there meanwhile. This one asks for admission again, and
            # quarantine must not count it as a trial that was sent.
            self._quarantine.record_not_run(call.fingerprint)
            self._release(state)
            return None
        estimate = self._chooser.target_state(target).estimate
        started_at_seconds = self._context.now_seconds()
        log.record_send(target.instance, started_at_seconds)
        sent_at_unix_seconds = time.time()
        try:
            result = await self._attempt(
                state.route, call, target, log, state.deadline_seconds, state.as_stream
            )
        except asyncio.CancelledError:
            # The caller disconnected; the target has probably begun the request.
            self._record_begin(call, log, sent_at_unix_seconds)
            raise
        if not isinstance(result, TargetFailed) or result.may_have_run:
            streams = isinstance(result, TargetStream)
            self._record_begin(call, log, time.time() if streams else sent_at_unix_seconds)
        self._record_admission_end(state, target, result, started_at_seconds)
        if isinstance(result, TargetAnswer):
            self._quarantine.record_answer(call.fingerprint)
        if isinstance(result, TargetFailed):
            self._record_failure(call, target, log, result, started_at_seconds)
            if (
                state.admission_request is None
                and not result.may_have_run
                and not result.is_unresponsive
            ):
                await asyncio.sleep(REFUSED_RETRY_DELAY_SECONDS)
            return None
        if isinstance(result, TargetStream) or result.status < 500 or not log.repeatable:
            return state.answer(result, target, unlogged_attempts=1, place=estimate)
        state.failures += result.status == 500
        state.last_failure = (result, target)
        log.record_end(AttemptEnd(target.instance, True, f"status {result.status}"))
        return None

    def _record_admission_end(
        self,
        state: CallState,
        target: ListedTarget,
        result: TargetAnswer | TargetStream | TargetFailed,
        started_at_seconds: float,
    ) -> None:
        """Record the end of an attempt in the service's admission state."""
        admission_request = state.admission_request
        if admission_request is None:
            return
        state.is_admitted = False
        if not isinstance(result, TargetFailed):
            took_seconds = self._context.now_seconds() - started_at_seconds
            self._service_admission.record_answer(
                state.service, admission_request, target.instance, took_seconds
            )
        elif result.may_have_run or result.is_unresponsive or result.is_other_target:
            self._service_admission.record_end(state.service, admission_request)
        else:
            self._service_admission.record_refusal(state.service, admission_request)

    def _record_begin(self, call: Call, log: AttemptLog, at_unix_seconds: float) -> None:
        """Count a request for the usage report when it first begins at a target.

        An attempt without an answer counts, as it may have begun. Retries don't count.
        """
        if log.began_at_unix_seconds is None:
            log.began_at_unix_seconds = at_unix_seconds
            if call.caller.tenant:
                self._context.usage.record_start(call.caller.tenant, at_unix_seconds)

    def record_stream_end(self, call: Call) -> None:
        """Record that a stream ended normally."""
        self._quarantine.record_answer(call.fingerprint)

    def record_stream_failure(self, call: Call, target: ListedTarget) -> None:
        """Record that a stream was interrupted after its head."""
        self._quarantine.record_failure(call.fingerprint(), target)

    def record_targets_excluded(self) -> None:
        """Release the queued calls that no target may serve any more."""
        self._service_admission.record_targets_excluded()

    def free_slots(self, route: RouteRow, tenant: str, excluded: str) -> float:
        """Return the free slots, by load reports, of the targets that may serve a tenant's call.

        The target `excluded` is left out. 0 if the targets are not chosen by their reported load.
        """
        allowed_regions = self._context.allowed_regions(route, tenant)
        return sum(
            estimate.free_slots
            for choice in route.choices
            for estimate in self._chooser.estimates(choice.serves, allowed_regions)
            if estimate.instance != excluded and math.isfinite(estimate.report_age_seconds)
        )

    def typical_call_seconds(self, route: RouteRow) -> float:
        """Return the typical time of a route's calls; infinite if it is not known."""
        return max(self._call_seconds.get(choice.serves, math.inf) for choice in route.choices)

    def usable_target_count(self, route: RouteRow, tenant: str = "") -> int:
        """Return how many targets of a route's services a tenant's calls may use now."""
        now_seconds = self._context.now_seconds()
        directory = self._context.directory
        allowed_regions = self._context.allowed_regions(route, tenant)
        return sum(
            len(directory.usable(choice.serves, now_seconds, allowed_regions))
            for choice in route.choices
        )

    def _pick(self, state: CallState) -> ListedTarget | None:
        """Return a target; None if there is none or the deadline has passed.

        Without a usable target the call is refused at once, with a retry time.
        """
        service, log, goal_seconds = state.service, state.log, state.route.goal_seconds
        allowed_regions = state.allowed_regions
        now_seconds = self._context.now_seconds()
        if now_seconds >= state.deadline_seconds:
            return None
        target = self._chooser.pick(service, log.tried_targets(), allowed_regions, goal_seconds)
        if target is None and log.ends and (log.repeatable or not log.may_have_run):
            # All usable targets were tried: try one of them again.
            target = self._chooser.pick(service, set(), allowed_regions, goal_seconds)
        outage = self._outage(state)
        if target is None and not log.ends:
            outage.record_unavailable(now_seconds)
            if self._context.settings.queues_calls:
                self._service_admission.record_no_target(service)
        elif target is not None:
            outage.record_available(now_seconds)
        return target

    def _record_failure(
        self,
        call: Call,
        target: ListedTarget,
        log: AttemptLog,
        failure: TargetFailed,
        started_at_seconds: float,
    ) -> None:
        """Record an attempt without an answer: target state, quarantine, event and attempt log."""
        self._chooser.record_failure(target, failure)
        fingerprint = call.fingerprint() if failure.may_have_run else ""
        if fingerprint:
            self._quarantine.record_failure(fingerprint, target)
        else:
            self._quarantine.record_not_run(call.fingerprint)
        self._context.log.write(
            AttemptFailed(
                request=call.request_id,
                service=target.service,
                target=target.instance,
                attempt=len(log.ends) + 1,
                may_have_run=failure.may_have_run,
                detail=failure.detail,
                attempt_seconds=round(self._context.now_seconds() - started_at_seconds, 4),
                list_age_seconds=self._context.list_age_seconds(),
                fingerprint=fingerprint,
            )
        )
        log.record_end(AttemptEnd(target.instance, failure.may_have_run, failure.detail))

    async def _attempt(
        self,
        route: RouteRow,
        call: Call,
        target: ListedTarget,
        log: AttemptLog,
        deadline_seconds: float,
        as_stream: bool,
    ) -> TargetAnswer | TargetStream | TargetFailed:
        target_state = self._chooser.target_state(target)
        until_seconds = attempt_deadline_seconds(
            log, route.goal_seconds, deadline_seconds, self._context.now_seconds()
        )
        fresh_connection = not log.repeatable
        started_at_seconds = self._context.now_seconds()
        target_state.record_start(CALL_COST_TOKENS, ())
        sent_request = self._chooser.record_send(target)
        result: TargetAnswer | TargetStream | TargetFailed | None = None
        try:
            send = self._targets.open_stream if as_stream else self._targets.forward
            result = await send(target, call, until_seconds, fresh_connection)
        finally:
            target_state.record_end(CALL_COST_TOKENS)
            self._chooser.record_end(sent_request, result)
        if not isinstance(result, TargetFailed) and result.status < 500:
            target_state.record_success(0, 0.0)
            took_seconds = self._context.now_seconds() - started_at_seconds
            typical_seconds = self._record_call_time(target, took_seconds)
            if not fresh_connection and took_seconds <= SLOW_CALL_FACTOR * typical_seconds:
                target_state.idle_connection_until_seconds = (
                    started_at_seconds + self._targets.keep_alive_seconds
                )
            else:
                target_state.idle_connection_until_seconds = 0.0
        return result

    def _record_call_time(self, target: ListedTarget, took_seconds: float) -> float:
        """Record how long a call took; return the service's typical call time."""
        service = target.service
        typical_seconds = self._call_seconds.get(service, INITIAL_CALL_SECONDS)
        if self._context.cold_sends.is_limited(target, self._context.now_seconds()):
            return typical_seconds
        typical_seconds += CALL_SMOOTHING * (took_seconds - typical_seconds)
        self._call_seconds[service] = typical_seconds
        return typical_seconds

    def _give_up(self, state: CallState) -> NotRun | MayHaveRun:
        log, service = state.log, state.service
        rank = state.call.caller.rank(state.route.caller_class)
        now_seconds = self._context.now_seconds()
        if log.may_have_run:
            return log.give_up(now_seconds)
        excluded = self._exclusion_clause(state)
        if excluded:
            outage = self._outage(state)
            outage.record_unavailable(now_seconds)
            detail = f"no target of {service!r} is usable: {excluded}"
            base_seconds = outage.remaining_seconds(now_seconds)
        elif log.ends:
            # All targets are full: one of them is free after about the typical call time.
            detail = log.ends[-1].detail
            base_seconds = self._call_seconds.get(service, INITIAL_CALL_SECONDS)
        else:
            detail = f"no target of {service!r} is usable"
            base_seconds = self._outage(state).remaining_seconds(now_seconds)
        draw = self._context.rng.random()
        delay_seconds = retry_delay_seconds(base_seconds, rank, draw)
        return NotRun(NotRunReason.NO_TARGET, detail, now_seconds + delay_seconds)

    def _outage(self, state: CallState) -> OutageTracker:
        """Return the outages of a service, as calls with the same allowed regions see them."""
        return self._outages.setdefault((state.service, state.allowed_regions), OutageTracker())

    def _exclusion_clause(self, state: CallState) -> str:
        """Return why all targets are excluded for a call, and log it; empty if they are not."""
        now_seconds = self._context.now_seconds()
        directory, service = self._context.directory, state.service
        if directory.usable(service, now_seconds, state.allowed_regions):
            return ""
        reasons = {
            reason.value: count
            for reason, count in directory.exclusions(service, state.allowed_regions).items()
        }
        if not reasons:
            return ""
        self._context.log.write(
            TargetsExcluded(request=state.call.request_id, service=service, reasons=reasons)
        )
        return ", ".join(f"{count} with {reason}" for reason, count in reasons.items())
