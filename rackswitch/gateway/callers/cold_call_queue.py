"""Calls that wait until this daemon may send to a cold target, as all others are cold too."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from rackswitch.gateway.context import GatewayContext
from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.routing import ListedTarget, WorkKind
from rackswitch.warmup import RAMP_SECONDS

__all__ = ["ColdCallQueue", "HeldCall"]

CHECK_INTERVAL_SECONDS = 0.05
"""Maximum interval between two checks of a queue: a target may become warm or be listed."""

MIN_CHECK_INTERVAL_SECONDS = 0.001
"""Lets a released call be sent before the next one is released."""

MAX_RETRY_SECONDS = 5.0
"""Latest retry time that is stated if all targets stay cold for longer."""

OUT_OF_TIME_DETAIL = "all targets are cold: cannot be in time"
NOT_SENDER_DETAIL = "all targets are cold: other daemons send to them"

HeldCheck = Callable[[str, frozenset[str] | None], bool]


@dataclass(frozen=True, slots=True, order=True)
class HeldCall:
    """A call that waits, as no target that may serve it may be sent to now.

    Attributes
    ----------
    rank : int
        Its priority; 0 is served first.
    arrived_seconds : float
        When it arrived (monotonic).
    latest_send_seconds : float
        When it must have been sent; it is refused if this cannot be.
    """

    rank: int
    arrived_seconds: float
    latest_send_seconds: float


@dataclass(slots=True)
class _ServiceQueue:
    """The waiting calls of a service with one set of allowed regions.

    Attributes
    ----------
    timer : TimerHandle or None
        The next check.
    """

    service: str
    allowed_regions: frozenset[str] | None
    calls: list[tuple[HeldCall, asyncio.Future[NotRun | None]]] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None


class ColdCallQueue:
    """Releases calls, by rank and age, when a cold target's budget allows the next send.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    is_held : callable
        Returns whether no target of a service in the allowed regions may be sent to now, though
        some are usable.
    """

    __slots__ = ("_context", "_is_held", "_queues")

    def __init__(self, context: GatewayContext, is_held: HeldCheck):
        self._context = context
        self._is_held = is_held
        self._queues: dict[tuple[str, frozenset[str] | None], _ServiceQueue] = {}

    async def wait(
        self, service: str, allowed_regions: frozenset[str] | None, call: HeldCall
    ) -> NotRun | None:
        """Wait until a call may be sent; return its refusal, or None once it may be sent."""
        queue = self._queues.setdefault(
            (service, allowed_regions), _ServiceQueue(service, allowed_regions)
        )
        refusal = self._refusal(queue, call)
        if refusal is not None:
            return refusal
        released: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        queue.calls.append((call, released))
        queue.calls.sort(key=lambda held: held[0])
        self._schedule_check(queue, MIN_CHECK_INTERVAL_SECONDS)
        try:
            return await released
        finally:
            queue.calls = [held for held in queue.calls if held[1] is not released]

    def _refusal(self, queue: _ServiceQueue, call: HeldCall) -> NotRun | None:
        """Return the refusal of a call that cannot be sent in time, by the calls ahead of it."""
        now_seconds = self._context.now_seconds()
        next_send_seconds, rate_per_second = self._next_send(queue, now_seconds)
        if rate_per_second <= 0:
            retry_at_seconds = self._warm_at_seconds(queue, now_seconds)
            return NotRun(NotRunReason.OVERLOADED, NOT_SENDER_DETAIL, retry_at_seconds)
        ahead = sum(other <= call for other, _ in queue.calls if other is not call)
        first_seconds = max(now_seconds, next_send_seconds)
        if first_seconds + ahead / rate_per_second <= call.latest_send_seconds:
            return None
        # The queue then has room for one more call.
        retry_at_seconds = first_seconds + len(queue.calls) / rate_per_second
        return NotRun(NotRunReason.OVERLOADED, OUT_OF_TIME_DETAIL, retry_at_seconds)

    def _next_send(self, queue: _ServiceQueue, now_seconds: float) -> tuple[float, float]:
        """Return when this daemon may next send to a cold target, and at which rate to all."""
        cold_sends = self._context.cold_sends
        next_send_seconds = float("inf")
        rate_per_second = 0.0
        for target in self._usable(queue, now_seconds):
            if cold_sends.is_limited(target, now_seconds):
                target_seconds = cold_sends.next_send_seconds(target, WorkKind.CALL, now_seconds)
                next_send_seconds = min(next_send_seconds, target_seconds)
                rate_per_second += cold_sends.send_rate(target, WorkKind.CALL, now_seconds)
        return next_send_seconds, rate_per_second

    def _usable(self, queue: _ServiceQueue, now_seconds: float) -> list[ListedTarget]:
        directory = self._context.directory
        return directory.usable(queue.service, now_seconds, queue.allowed_regions)

    def _warm_at_seconds(self, queue: _ServiceQueue, now_seconds: float) -> float:
        """Return a random time soon after the first target is warm, within `MAX_RETRY_SECONDS`.

        Until the ramp is over, most daemons may not send to it yet. The refused callers of all
        daemons must not return at the same moment.
        """
        warm_at_seconds = min(
            (
                self._context.cold_sends.targets.until_seconds(target.start)
                for target in self._usable(queue, now_seconds)
            ),
            default=now_seconds,
        )
        warm_at_seconds += RAMP_SECONDS * (1 + self._context.rng.random())
        earliest_seconds = now_seconds + CHECK_INTERVAL_SECONDS
        return min(now_seconds + MAX_RETRY_SECONDS, max(earliest_seconds, warm_at_seconds))

    def _check(self, queue: _ServiceQueue) -> None:
        """Release one call if a target may be sent to, and refuse those that are out of time."""
        queue.timer = None
        now_seconds = self._context.now_seconds()
        waiting = [held for held in queue.calls if not held[1].done()]
        if not waiting:
            return
        if not self._is_held(queue.service, queue.allowed_regions):
            waiting[0][1].set_result(None)
            self._schedule_check(queue, MIN_CHECK_INTERVAL_SECONDS)
            return
        for call, released in waiting:
            refusal = self._refusal(queue, call)
            if refusal is not None:
                released.set_result(refusal)
        next_send_seconds, _ = self._next_send(queue, now_seconds)
        delay_seconds = min(CHECK_INTERVAL_SECONDS, next_send_seconds - now_seconds)
        self._schedule_check(queue, max(MIN_CHECK_INTERVAL_SECONDS, delay_seconds))

    def _schedule_check(self, queue: _ServiceQueue, delay_seconds: float) -> None:
        if queue.timer is None:
            loop = asyncio.get_running_loop()
            queue.timer = loop.call_later(delay_seconds, self._check, queue)
