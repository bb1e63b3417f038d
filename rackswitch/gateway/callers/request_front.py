"""Serving callers: a target's whole answer to their own request, or the truth about it."""

import asyncio
import time
from dataclasses import dataclass

from rackswitch.gateway.callers.target_choice import CALL_COST_TOKENS, TargetChooser
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.quarantine.quarantine_keeper import QuarantineKeeper
from rackswitch.outcomes import MayHaveRun, NotRun, NotRunReason
from rackswitch.platform.target_calls import TargetClient
from rackswitch.requests import (
    AttemptEnd,
    AttemptLog,
    Call,
    OutageMemory,
    TargetAnswer,
    TargetFailed,
    TargetStream,
    attempt_deadline_seconds,
    return_delay_seconds,
)
from rackswitch.routing import ListedTarget, Place
from rackswitch.table import Handling, RouteRow
from rackswitch.telemetry.events import AttemptFailed

__all__ = ["FrontAnswer", "FrontOutcome", "RequestFront", "outcome_label"]

MOST_REFUSALS = 8
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


FrontOutcome = TargetAnswer | TargetStream | NotRun | MayHaveRun


def outcome_label(outcome: FrontOutcome) -> str:
    """Return an outcome in a few words, for logs."""
    if isinstance(outcome, NotRun):
        return f"not run: {outcome.detail}"
    if isinstance(outcome, MayHaveRun):
        return f"may have run: {outcome.detail}"
    return str(outcome.status)


@dataclass(frozen=True, slots=True)
class FrontAnswer:
    """What became of a request.

    Attributes
    ----------
    failures : int
        Answers of 500, by which targets themselves said that they had failed.
    place : Place or None
        What was believed of the answering target as it was chosen; None if its service tells
        no pace.
    """

    outcome: FrontOutcome
    attempts: int
    failures: int
    target: ListedTarget | None = None
    place: Place | None = None

    @property
    def instance(self) -> str:
        """The target whose answer it is; empty if there is none."""
        return self.target.instance if self.target is not None else ""


class RequestFront:
    """Sends calls to targets, again where that is allowed and useful.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    chooser : TargetChooser
        Picks targets.
    targets : TargetClient
        Makes the calls.
    quarantine : QuarantineKeeper
        Told of runs that broke off.
    """

    __slots__ = ("_call_seconds", "_chooser", "_context", "_outages", "_quarantine", "_targets")

    def __init__(
        self,
        context: GatewayContext,
        chooser: TargetChooser,
        targets: TargetClient,
        quarantine: QuarantineKeeper,
    ):
        self._quarantine = quarantine
        self._context = context
        self._chooser = chooser
        self._targets = targets
        self._call_seconds: dict[str, float] = {}
        self._outages: dict[str, OutageMemory] = {}

    def new_log(self, route: RouteRow) -> AttemptLog:
        """Return the record of a request's attempts, which says how many there may be."""
        repeatable = route.handling is Handling.REPEATABLE or route.resumable
        return AttemptLog(
            repeatable, most_attempts=route.most_attempts, most_refusals=MOST_REFUSALS
        )

    async def call(
        self,
        route: RouteRow,
        call: Call,
        deadline_seconds: float,
        log: AttemptLog,
        as_stream: bool = False,
    ) -> FrontAnswer:
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
        """
        service = self._chooser.draw_choice(route).serves
        failures = 0
        last_failure: tuple[TargetAnswer, ListedTarget] | None = None
        while log.may_begin():
            target = self._pick(service, log, deadline_seconds)
            if target is None:
                break
            place = self._chooser.load(target).place
            held = await self._quarantine.admit(call.fingerprint, deadline_seconds)
            if held is not None:
                if not log.may_have_run:
                    outcome = NotRun(NotRunReason.HELD_BACK, held.detail, held.until_seconds)
                    return FrontAnswer(outcome, len(log.ends), failures)
                break
            log.begin()
            began_seconds = self._context.now_seconds()
            sent_at_unix_seconds = time.time()
            try:
                result = await self._attempt(route, call, target, log, deadline_seconds, as_stream)
            except asyncio.CancelledError:
                # The caller has left, and the target was probably at work.
                self._note_begin(call, log, sent_at_unix_seconds)
                raise
            if not isinstance(result, TargetFailed) or result.may_have_run:
                streams = isinstance(result, TargetStream)
                self._note_begin(call, log, time.time() if streams else sent_at_unix_seconds)
            if isinstance(result, TargetAnswer):
                self._quarantine.answered(call.fingerprint)
            if isinstance(result, TargetFailed):
                self._note_failure(call, target, log, result, began_seconds)
                if not result.may_have_run and not result.silent:
                    await asyncio.sleep(PAUSE_SECONDS)
                continue
            if isinstance(result, TargetStream) or result.status < 500 or not log.repeatable:
                return FrontAnswer(result, len(log.ends) + 1, failures, target, place)
            failures += result.status == 500
            last_failure = (result, target)
            log.note(AttemptEnd(target.instance, True, f"status {result.status}"))
        if last_failure is not None:
            answer, target = last_failure
            return FrontAnswer(answer, len(log.ends), failures, target)
        rank = call.caller.rank(route.caller_class)
        return FrontAnswer(self._give_up(rank, log, service), len(log.ends), failures)

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
        outage = self._outages.setdefault(service, OutageMemory())
        if target is None and not log.ends:
            outage.missing(now_seconds)
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

    def _give_up(self, rank: int, log: AttemptLog, service: str) -> NotRun | MayHaveRun:
        now_seconds = self._context.now_seconds()
        if log.may_have_run:
            return log.give_up(now_seconds)
        if log.ends:
            # Targets are there and full: one of them is through with a call after its usual time.
            detail = log.ends[-1].detail
            base_seconds = self._call_seconds.get(service, FIRST_CALL_SECONDS)
        else:
            detail = f"no target of {service!r} can be had"
            outage = self._outages.setdefault(service, OutageMemory())
            base_seconds = outage.remaining_seconds(now_seconds)
        draw = self._context.rng.random()
        delay_seconds = return_delay_seconds(base_seconds, rank, draw)
        return NotRun(NotRunReason.NO_TARGET, detail, now_seconds + delay_seconds)
