"""Serving callers: a target's whole answer to their own request, or the truth about it."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from rackswitch.admission import LEAST_URGENT_RANK, REWARD_RANK, AdmissionRequest, PatienceEstimate
from rackswitch.gateway.callers.call_admission import CallAdmission, NoTarget, PlacesOf
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
from rackswitch.routing import ListedTarget, TargetEstimate
from rackswitch.table import Handling, RouteRow
from rackswitch.telemetry.events import AttemptFailed

__all__ = ["DispatchAnswer", "DispatchOutcome", "RequestDispatcher", "outcome_label"]

MAX_REFUSALS = 8
"""Targets that may refuse one request before it is refused itself."""

PAUSE_SECONDS = 0.02
"""Between tries while every target is full; about half a call's usual work."""

CALL_SMOOTHING = 0.1
"""Weight of one call's time in the usual time of its service: some ten calls count."""

SLOW_CALL_FACTOR = 2.0
"""How many times longer than usual a call may take before its target is not preferred for its open
connection: that one may have become slow, and a draw among all leaves it sooner."""

FIRST_CALL_SECONDS = 0.05
"""A service's usual time before a call of it was served; about that of a look-up."""


DispatchOutcome = TargetAnswer | TargetStream | NotRun | MayHaveRun


def outcome_label(outcome: DispatchOutcome) -> str:
    """Return an outcome in a few words, for logs."""
    if isinstance(outcome, NotRun):
        return f"not run: {outcome.detail}"
    if isinstance(outcome, MayHaveRun):
        return f"may have run: {outcome.detail}"
    return str(outcome.status)


@dataclass(frozen=True, slots=True)
class DispatchAnswer:
    """What became of a request.

    Attributes
    ----------
    outcome : DispatchOutcome
        The answer, or why there is none.
    attempts : int
        How often it was sent.
    failures : int
        Answers of 500, by which targets themselves said that they had failed.
    target : ListedTarget or None
        Whose answer it is.
    place : TargetEstimate or None
        What was believed of the answering target as it was chosen; None if its service tells
        no pace.
    """

    outcome: DispatchOutcome
    attempts: int
    failures: int
    target: ListedTarget | None = None
    place: TargetEstimate | None = None

    @property
    def instance(self) -> str:
        """The target whose answer it is; empty if there is none."""
        return self.target.instance if self.target is not None else ""


@dataclass(slots=True)
class _Serving:
    """One call on its way.

    Attributes
    ----------
    route : RouteRow
        The route in force when the call came.
    deadline_seconds : float
        When the caller, or the route, gives it up (event loop time).
    log : AttemptLog
        Its attempts so far.
    as_stream : bool
        Whether a success is returned as soon as its head is there.
    service : str
        Whose targets may serve it.
    want : AdmissionRequest or None
        What it asks of the service's room; None for a call that needs not ask.
    failures : int
        Answers of 500, by which targets themselves said that they had failed.
    last_failure : (TargetAnswer, ListedTarget) or None
        The last such answer.
    is_in : bool
        Whether it counts as being at the service.
    """

    route: RouteRow
    call: Call
    deadline_seconds: float
    log: AttemptLog
    as_stream: bool
    service: str
    want: AdmissionRequest | None
    failures: int = 0
    last_failure: tuple[TargetAnswer, ListedTarget] | None = None
    is_in: bool = False

    def answer(
        self,
        outcome: DispatchOutcome,
        target: ListedTarget | None = None,
        unnoted: int = 0,
        place: TargetEstimate | None = None,
    ) -> DispatchAnswer:
        """Return the final answer, with the attempts so far and those not in the log."""
        return DispatchAnswer(outcome, len(self.log.ends) + unnoted, self.failures, target, place)


@dataclass(frozen=True, slots=True)
class _Held:
    """A request that may not be sent now.

    Attributes
    ----------
    refusal : NotRun or None
        What its caller is told; None if it may have run before, so that no refusal is true.
    """

    refusal: NotRun | None


def no_places(service: str) -> Sequence[TargetEstimate]:
    """Return that nothing is known of a service's targets."""
    return ()


class RequestDispatcher:
    """Sends calls to targets, again where that is allowed and useful.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    chooser : TargetChooser
        Picks targets.
    targets : TargetClient
        Makes the calls.
    quarantine : QuarantineManager
        Told of runs that broke off.
    places_of : callable, optional
        What is believed of a service's targets; nothing by default.
    """

    __slots__ = (
        "_call_seconds",
        "_chooser",
        "_context",
        "_outages",
        "_patience",
        "_quarantine",
        "_rooms",
        "_targets",
    )

    def __init__(
        self,
        context: GatewayContext,
        chooser: TargetChooser,
        targets: TargetClient,
        quarantine: QuarantineManager,
        places_of: PlacesOf = no_places,
    ):
        self._quarantine = quarantine
        self._context = context
        self._chooser = chooser
        self._targets = targets
        self._rooms = CallAdmission(context, places_of)
        self._patience = PatienceEstimate()
        self._call_seconds: dict[str, float] = {}
        self._outages: dict[str, OutageTracker] = {}

    def new_log(self, route: RouteRow) -> AttemptLog:
        """Return the record of a request's attempts, which says how many there may be."""
        repeatable = route.handling is Handling.REPEATABLE or route.resumable
        return AttemptLog(repeatable, most_attempts=route.most_attempts, max_refusals=MAX_REFUSALS)

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
            The route in force when the call came.
        call : Call
            The call.
        deadline_seconds : float
            When the caller, or the route, gives it up (event loop time).
        log : AttemptLog
            The request's attempts so far; a stream that goes on elsewhere brings its own.
        as_stream : bool
            Whether to return a success as soon as its head is there.
        reward_of : str or None
            The tenant whose step waits for this reward call; None for a caller's own call.
        """
        service = self._chooser.draw_choice(route).serves
        serving = _Serving(route, call, deadline_seconds, log, as_stream, service, None)
        if self._context.settings.queues_calls and not as_stream:
            serving.want = self._want(route, call, deadline_seconds, reward_of)
        try:
            return await self._serve(serving)
        finally:
            self._go_out(serving)

    async def _serve(self, serving: _Serving) -> DispatchAnswer:
        while serving.log.may_begin():
            target = await self._next_target(serving)
            if isinstance(target, NotRun):
                return serving.answer(target)
            if target is None:
                break
            answer = await self._try(serving, target)
            if answer is not None:
                return answer
        if serving.last_failure is not None:
            return serving.answer(*serving.last_failure)
        return serving.answer(self._give_up(serving))

    async def _next_target(self, serving: _Serving) -> ListedTarget | NotRun | None:
        """Wait until a call may be sent and return where to; its refusal, or None for nowhere."""
        target = self._pick(serving.service, serving.log, serving.deadline_seconds)
        if target is None:
            return None
        if serving.want is not None:
            # A request that the quarantine holds back must not take up room at the service.
            held = await self._held(serving, may_claim=False)
            if held is not None:
                return held.refusal
            refused = await self._enter(serving, serving.want)
            if refused is not None or not serving.is_in:
                return refused if isinstance(refused, NotRun) else None
            # The call may have waited: choose by what is known now.
            target = self._pick(serving.service, serving.log, serving.deadline_seconds)
            if target is None:
                return None
        # Asked last: this may claim a trial of the request, which must then really be sent.
        held = await self._held(serving, may_claim=True)
        return target if held is None else held.refusal

    async def _held(self, serving: _Serving, may_claim: bool) -> _Held | None:
        """Ask the quarantine; return how a request is held back, or None if it is not."""
        held = await self._quarantine.admit(
            serving.call.fingerprint, serving.deadline_seconds, may_claim
        )
        if held is None:
            return None
        if serving.log.may_have_run:
            return _Held(None)
        return _Held(NotRun(NotRunReason.HELD_BACK, held.detail, held.until_seconds))

    def _want(
        self, route: RouteRow, call: Call, deadline_seconds: float, reward_of: str | None
    ) -> AdmissionRequest:
        """Return what a call asks of its service's room."""
        now_seconds = self._context.now_seconds()
        aim_seconds = min(deadline_seconds, now_seconds + route.goal_seconds)
        is_reward = reward_of is not None
        return AdmissionRequest(
            request_id=call.request_id,
            kind=route.name,
            tenant=call.caller.tenant if reward_of is None else reward_of,
            rank=REWARD_RANK
            if is_reward
            else min(LEAST_URGENT_RANK, call.caller.rank(route.caller_class)),
            body_bytes=len(call.body),
            arrived_seconds=now_seconds,
            # A step waits for the last of its reward calls: none has an aim of its own.
            aim_seconds=deadline_seconds if is_reward else aim_seconds,
            deadline_seconds=deadline_seconds,
            is_back=not is_reward
            and self._patience.is_back(route.name, deadline_seconds - now_seconds),
        )

    async def _enter(self, serving: _Serving, want: AdmissionRequest) -> NotRun | NoTarget | None:
        """Wait for room, at first or after a target had none; or spend a retry after a failure."""
        last = serving.log.ends[-1] if serving.log.ends else None
        if last is not None and last.may_have_run:
            serving.is_in = self._rooms.repeat(serving.service, want)
            return None
        if last is None:
            refused = await self._rooms.enter(serving.service, want)
        else:
            refused = await self._rooms.enter_again(serving.service, want)
        serving.is_in = refused is None
        if isinstance(refused, NotRun) and serving.log.may_have_run:
            # An earlier attempt may have run, so the caller must not be told that none has.
            return NoTarget()
        return refused

    def _go_out(self, serving: _Serving) -> None:
        """Note that a call is no longer at its service, if it still counts as being there."""
        if serving.is_in and serving.want is not None:
            serving.is_in = False
            self._rooms.ended(serving.service, serving.want)

    async def _try(self, serving: _Serving, target: ListedTarget) -> DispatchAnswer | None:
        """Send a call once; return the final answer, or None if another target may be tried."""
        call, log = serving.call, serving.log
        log.begin()
        place = self._chooser.load(target).place
        began_seconds = self._context.now_seconds()
        sent_at_unix_seconds = time.time()
        try:
            result = await self._attempt(
                serving.route, call, target, log, serving.deadline_seconds, serving.as_stream
            )
        except asyncio.CancelledError:
            # The caller has left, and the target was probably at work.
            self._note_begin(call, log, sent_at_unix_seconds)
            raise
        if not isinstance(result, TargetFailed) or result.may_have_run:
            streams = isinstance(result, TargetStream)
            self._note_begin(call, log, time.time() if streams else sent_at_unix_seconds)
        self._note_room(serving, target, result, began_seconds)
        if isinstance(result, TargetAnswer):
            self._quarantine.answered(call.fingerprint)
        if isinstance(result, TargetFailed):
            self._note_failure(call, target, log, result, began_seconds)
            if serving.want is None and not result.may_have_run and not result.silent:
                await asyncio.sleep(PAUSE_SECONDS)
            return None
        if isinstance(result, TargetStream) or result.status < 500 or not log.repeatable:
            return serving.answer(result, target, unnoted=1, place=place)
        serving.failures += result.status == 500
        serving.last_failure = (result, target)
        log.note(AttemptEnd(target.instance, True, f"status {result.status}"))
        return None

    def _note_room(
        self,
        serving: _Serving,
        target: ListedTarget,
        result: TargetAnswer | TargetStream | TargetFailed,
        began_seconds: float,
    ) -> None:
        """Tell the service's room how an attempt ended; the call is no longer there."""
        want = serving.want
        if want is None:
            return
        serving.is_in = False
        if not isinstance(result, TargetFailed):
            took_seconds = self._context.now_seconds() - began_seconds
            self._rooms.answered(serving.service, want, target.instance, took_seconds)
        elif result.may_have_run or result.silent or result.not_there:
            self._rooms.ended(serving.service, want)
        else:
            self._rooms.not_begun(serving.service, want)

    def _note_begin(self, call: Call, log: AttemptLog, at_unix_seconds: float) -> None:
        """Count a request once, by its first beginning at a target, whatever is repeated of it.

        An attempt without an answer counts: it has more probably begun than not.
        """
        if log.began_at_unix_seconds is None:
            log.began_at_unix_seconds = at_unix_seconds
            if call.caller.tenant:
                self._context.usage.began(call.caller.tenant, at_unix_seconds)

    def stream_ended(self, call: Call) -> None:
        """Note that a stream came to its end."""
        self._quarantine.answered(call.fingerprint)

    def stream_broke(self, call: Call, target: ListedTarget) -> None:
        """Note that a stream broke off after its head."""
        self._quarantine.broke(call.fingerprint(), target)

    def usable_count(self, route: RouteRow) -> int:
        """Return how many targets of a route's services could be used now."""
        now_seconds = self._context.now_seconds()
        directory = self._context.directory
        return sum(len(directory.usable(choice.serves, now_seconds)) for choice in route.choices)

    def _pick(self, service: str, log: AttemptLog, deadline_seconds: float) -> ListedTarget | None:
        """Return a target; None if there is none or the request's time is over.

        A caller whose request nobody can take is told so at once and comes back when somebody
        probably can, in place of waiting here without an outcome.
        """
        now_seconds = self._context.now_seconds()
        if now_seconds >= deadline_seconds:
            return None
        target = self._chooser.pick(service, log.tried_targets())
        if target is None and log.ends and (log.repeatable or not log.may_have_run):
            # All usable ones have been tried: one of those again is better than none.
            target = self._chooser.pick(service, set())
        outage = self._outages.setdefault(service, OutageTracker())
        if target is None and not log.ends:
            outage.missing(now_seconds)
            if self._context.settings.queues_calls:
                self._rooms.no_target(service)
        elif target is not None:
            outage.there(now_seconds)
        return target

    def _note_failure(
        self,
        call: Call,
        target: ListedTarget,
        log: AttemptLog,
        failure: TargetFailed,
        began_seconds: float,
    ) -> None:
        """Learn from an attempt without an answer, log it and add it to the request's."""
        self._chooser.note_failure(target, failure)
        fingerprint = call.fingerprint() if failure.may_have_run else ""
        if fingerprint:
            self._quarantine.broke(fingerprint, target)
        else:
            self._quarantine.not_run(call.fingerprint)
        self._context.log.write(
            AttemptFailed(
                request=call.request_id,
                service=target.service,
                target=target.instance,
                attempt=len(log.ends) + 1,
                may_have_run=failure.may_have_run,
                detail=failure.detail,
                attempt_seconds=round(self._context.now_seconds() - began_seconds, 4),
                list_age_seconds=self._context.list_age_seconds(),
                fingerprint=fingerprint,
            )
        )
        log.note(AttemptEnd(target.instance, failure.may_have_run, failure.detail))

    async def _attempt(
        self,
        route: RouteRow,
        call: Call,
        target: ListedTarget,
        log: AttemptLog,
        deadline_seconds: float,
        as_stream: bool,
    ) -> TargetAnswer | TargetStream | TargetFailed:
        load = self._chooser.load(target)
        until_seconds = attempt_deadline_seconds(
            log, route.goal_seconds, deadline_seconds, self._context.now_seconds()
        )
        fresh_connection = not log.repeatable
        began_seconds = self._context.now_seconds()
        load.begin(CALL_COST_TOKENS, ())
        sent = self._chooser.sent(target)
        result: TargetAnswer | TargetStream | TargetFailed | None = None
        try:
            send = self._targets.open_stream if as_stream else self._targets.forward
            result = await send(target, call, until_seconds, fresh_connection)
        finally:
            load.end(CALL_COST_TOKENS)
            self._chooser.ended(sent, result)
        if not isinstance(result, TargetFailed) and result.status < 500:
            load.succeeded(0, 0.0)
            took_seconds = self._context.now_seconds() - began_seconds
            usual_seconds = self._note_call_time(target.service, took_seconds)
            if not fresh_connection and took_seconds <= SLOW_CALL_FACTOR * usual_seconds:
                load.at_hand_until_seconds = began_seconds + self._targets.kept_seconds
            else:
                load.at_hand_until_seconds = 0.0
        return result

    def _note_call_time(self, service: str, took_seconds: float) -> float:
        """Take in how long a call took; return how long one usually takes."""
        usual_seconds = self._call_seconds.get(service, FIRST_CALL_SECONDS)
        usual_seconds += CALL_SMOOTHING * (took_seconds - usual_seconds)
        self._call_seconds[service] = usual_seconds
        return usual_seconds

    def _give_up(self, serving: _Serving) -> NotRun | MayHaveRun:
        log, service = serving.log, serving.service
        rank = serving.call.caller.rank(serving.route.caller_class)
        now_seconds = self._context.now_seconds()
        if log.may_have_run:
            return log.give_up(now_seconds)
        if log.ends:
            # Targets are there and full: one of them is through with a call after its usual time.
            detail = log.ends[-1].detail
            base_seconds = self._call_seconds.get(service, FIRST_CALL_SECONDS)
        else:
            detail = f"no target of {service!r} can be had"
            outage = self._outages.setdefault(service, OutageTracker())
            base_seconds = outage.remaining_seconds(now_seconds)
        draw = self._context.rng.random()
        delay_seconds = retry_delay_seconds(base_seconds, rank, draw)
        return NotRun(NotRunReason.NO_TARGET, detail, now_seconds + delay_seconds)
