"""Sends the reward calls of items, and a second call where the first stays without an answer."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, replace

from rackswitch.gateway.callers.dispatch_answers import DispatchAnswer
from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.gateway.context import GatewayContext
from rackswitch.outcomes import MayHaveRun, NotRun
from rackswitch.requests import (
    AttemptLog,
    Call,
    CallTimes,
    HedgeBudget,
    TargetAnswer,
    hedge_attempt_log,
    may_hedge,
)
from rackswitch.table import RouteRow

__all__ = ["RewardCalls", "RewardCallState", "is_good"]

MIN_FREE_SLOTS = 1.0
"""Free slots at other targets, by their reports, that a second call needs."""


@dataclass(slots=True)
class RewardCallState:
    """What holds for all rounds of one item's reward call.

    Attributes
    ----------
    is_hedged : bool
        Whether a second call has been sent; there is at most one.
    """

    is_hedged: bool = False


def is_good(answer: DispatchAnswer) -> bool:
    """Return whether a reward call was served."""
    return isinstance(answer.outcome, TargetAnswer) and 200 <= answer.outcome.status < 300


class RewardCalls:
    """Sends reward calls.

    Second calls are sent only in deployments with several regions.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    dispatcher : RequestDispatcher
        Sends the calls.
    """

    __slots__ = ("_budgets", "_context", "_dispatcher", "_times")

    def __init__(self, context: GatewayContext, dispatcher: RequestDispatcher):
        self._context = context
        self._dispatcher = dispatcher
        self._times: dict[str, CallTimes] = defaultdict(CallTimes)
        self._budgets: dict[str, HedgeBudget] = defaultdict(HedgeBudget)

    async def call(
        self,
        route: RouteRow,
        call: Call,
        deadline_seconds: float,
        tenant: str,
        state: RewardCallState,
    ) -> DispatchAnswer:
        """Send a reward call and return its answer, or that of a second call.

        Parameters
        ----------
        route : RouteRow
            The route in force.
        call : Call
            The call.
        deadline_seconds : float
            Deadline of the call (event loop time).
        tenant : str
            The tenant whose step waits for the call.
        state : RewardCallState
            The state of the item's reward call.
        """
        log = self._dispatcher.new_log(route)
        if not self._context.regions.has_regions:
            return await self._send(route, call, deadline_seconds, log, tenant)
        self._budgets[route.name].record_call()
        first = asyncio.create_task(self._send(route, call, deadline_seconds, log, tenant))
        calls = [first]
        try:
            await self._wait_for_first(route, log, first)
            if first.done() or state.is_hedged or not self._may_hedge(route, log, tenant):
                return await first
            state.is_hedged = True
            hedge_log = hedge_attempt_log(log)
            hedge = asyncio.create_task(
                self._send(route, call, deadline_seconds, hedge_log, tenant)
            )
            calls.append(hedge)
            return await _first_good(first, hedge)
        finally:
            await _cancel(calls)

    async def _send(
        self, route: RouteRow, call: Call, deadline_seconds: float, log: AttemptLog, tenant: str
    ) -> DispatchAnswer:
        """Send one call; record its time if it was served."""
        answer = await self._dispatcher.call(route, call, deadline_seconds, log, reward_of=tenant)
        if is_good(answer) and answer.target is not None:
            took_seconds = self._context.now_seconds() - log.sent_at_seconds
            if not self._context.cold_sends.is_limited(answer.target, self._context.now_seconds()):
                self._times[answer.target.service].record(took_seconds)
        return answer

    async def _wait_for_first(
        self, route: RouteRow, log: AttemptLog, first: asyncio.Task[DispatchAnswer]
    ) -> None:
        """Wait until the first call has ended, or its attempt has been in progress for long.

        The time that a call waits for its admission does not count.
        """
        while not first.done():
            delay_seconds = self._delay_seconds(route)
            now_seconds = self._context.now_seconds()
            wait_seconds = delay_seconds
            if log.sent_to:
                wait_seconds = log.sent_at_seconds + delay_seconds - now_seconds
            if wait_seconds <= 0:
                return
            timeout_seconds = wait_seconds if wait_seconds < float("inf") else None
            await asyncio.wait([first], timeout=timeout_seconds)

    def _delay_seconds(self, route: RouteRow) -> float:
        return max(
            (self._times[choice.serves].hedge_delay_seconds for choice in route.choices),
            default=float("inf"),
        )

    def _may_hedge(self, route: RouteRow, log: AttemptLog, tenant: str) -> bool:
        """Return whether to send a second call now; if so, take it from the budget."""
        return (
            may_hedge(log)
            and self._dispatcher.free_slots(route, tenant, log.sent_to) >= MIN_FREE_SLOTS
            and self._budgets[route.name].try_spend()
        )


async def _first_good(
    first: asyncio.Task[DispatchAnswer], hedge: asyncio.Task[DispatchAnswer]
) -> DispatchAnswer:
    """Return the first good answer of two calls.

    Without one, an answer of a target comes before a call that may have run, and that before one
    that has not run. The attempts and failures of an unserved request are those of both calls.
    """
    pending = {first, hedge}
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if is_good(task.result()):
                return task.result()
        if not pending:
            break
    failures = first.result().failures + hedge.result().failures
    attempts = max(first.result().attempts, hedge.result().attempts)
    outcome = min((first.result(), hedge.result()), key=_outcome_order)
    return replace(outcome, failures=failures, attempts=attempts)


def _outcome_order(answer: DispatchAnswer) -> int:
    """Return the rank of an unserved call's outcome; the most telling one first."""
    if isinstance(answer.outcome, MayHaveRun):
        return 1
    return 2 if isinstance(answer.outcome, NotRun) else 0


async def _cancel(calls: list[asyncio.Task[DispatchAnswer]]) -> None:
    """Cancel the calls in progress, which closes their connections, and wait for their ends."""
    for task in calls:
        task.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
