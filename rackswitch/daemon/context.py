"""What the daemon's parts share."""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from rackswitch.clients.http import HttpSessions
from rackswitch.clients.kv import KvClient
from rackswitch.daemon.settings import DaemonSettings
from rackswitch.membership import Membership
from rackswitch.outcomes import BrokenInvariant
from rackswitch.peers.links import PeerLinks
from rackswitch.table import TableView
from rackswitch.telemetry import DecisionLog, Telemetry

__all__ = ["DaemonContext", "InFlight"]


class InFlight:
    """Counts work that a planned stop has to wait for."""

    __slots__ = ("_idle", "count")

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> None:
        self.begin()

    def __exit__(self, *details: object) -> None:
        self.end()

    def begin(self) -> None:
        """Count one piece of work in."""
        self.count += 1
        self._idle.clear()

    def end(self) -> None:
        """Count one piece of work out."""
        self.count -= 1
        if self.count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_seconds: float) -> bool:
        """Wait until nothing is in flight; return whether that came in time."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True


@dataclass(slots=True)
class DaemonContext:
    """State and connections that several parts of one daemon use.

    Attributes
    ----------
    stopping : bool
        Whether a planned stop has begun: no new work, no roles.
    in_flight : InFlight
        Requests, samples and claims that a planned stop waits for.
    """

    settings: DaemonSettings
    sessions: HttpSessions
    kv: KvClient
    links: PeerLinks
    view: TableView
    membership: Membership
    telemetry: Telemetry
    log: DecisionLog
    rng: random.Random
    stopping: bool = False
    broken: BrokenInvariant | None = None
    in_flight: InFlight = field(default_factory=InFlight)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _duties: dict[str, asyncio.Task[Any]] = field(default_factory=dict)

    def now_seconds(self) -> float:
        """Return the monotonic clock."""
        return asyncio.get_running_loop().time()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something in the background until it ends or the daemon does."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def spawn_duty(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something that the daemon cannot do without; its failure ends the daemon."""
        task = self.spawn(work)
        self._duties[getattr(work, "__qualname__", task.get_name())] = task
        task.add_done_callback(self._duty_ended)
        return task

    def _duty_ended(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None and self.broken is None:
            self.broken = BrokenInvariant(f"a duty ended: {task.exception()!r}")

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, BrokenInvariant):
            self.broken = error
            logger.critical("broken invariant: {}", error, daemon=self.settings.daemon)
        elif error is not None:
            logger.opt(exception=error).error("background task failed")

    @property
    def has_tasks(self) -> bool:
        """Whether any background work is under way."""
        return bool(self._tasks)

    def duty_states(self) -> list[str]:
        """Return a line for each duty: where it waits, or how it ended (for diagnosis)."""
        return [f"{name}: {_task_state(task)}" for name, task in self._duties.items()]

    async def cancel_all(self) -> None:
        """End all background work."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _task_state(task: asyncio.Task[Any]) -> str:
    if task.cancelled():
        return "cancelled"
    if task.done():
        return f"ended: {task.exception()!r}"
    # The innermost coroutine is the last of the chain that each one awaits.
    places: list[str] = []
    waiting: Any = task.get_coro()
    while (frame := getattr(waiting, "cr_frame", None)) is not None:
        places.append(f"{frame.f_code.co_qualname}:{frame.f_lineno}")
        waiting = waiting.cr_await
    return " < ".join(reversed(places)) + f" < {waiting!r}"[:120]
