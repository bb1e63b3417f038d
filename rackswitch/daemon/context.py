"""State shared by the components of a daemon."""

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
    """Counts work that a planned stop waits for."""

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
        """Count the start of a unit of work."""
        self.count += 1
        self._idle.clear()

    def end(self) -> None:
        """Count the end of a unit of work."""
        self.count -= 1
        if self.count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_seconds: float) -> bool:
        """Wait until nothing is in flight; return False after the timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True


@dataclass(slots=True)
class DaemonContext:
    """State and connections that the components of one daemon share.

    Attributes
    ----------
    stopping : bool
        Whether a planned stop has begun; the daemon then takes no new work and no roles.
    violated_invariant : BrokenInvariant or None
        The violated invariant that ends the daemon, if any.
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
    violated_invariant: BrokenInvariant | None = None
    in_flight: InFlight = field(default_factory=InFlight)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _duties: dict[str, asyncio.Task[Any]] = field(default_factory=dict)

    def now_seconds(self) -> float:
        """Return the current time of the monotonic clock."""
        return asyncio.get_running_loop().time()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background; it is cancelled when the daemon stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def spawn_duty(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a background task that the daemon needs; its failure ends the daemon."""
        task = self.spawn(work)
        self._duties[getattr(work, "__qualname__", task.get_name())] = task
        task.add_done_callback(self._on_duty_done)
        return task

    def _on_duty_done(self, task: asyncio.Task[Any]) -> None:
        if (
            not task.cancelled()
            and task.exception() is not None
            and self.violated_invariant is None
        ):
            self.violated_invariant = BrokenInvariant(
                f"background duty failed: {task.exception()!r}"
            )

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, BrokenInvariant):
            self.violated_invariant = error
            logger.critical("broken invariant: {}", error, daemon=self.settings.daemon)
        elif error is not None:
            logger.opt(exception=error).error("background task failed")

    @property
    def has_tasks(self) -> bool:
        """Whether any background task is running."""
        return bool(self._tasks)

    def duty_states(self) -> list[str]:
        """Return a diagnostic line for each duty: where it waits, or how it ended."""
        return [f"{name}: {_task_state(task)}" for name, task in self._duties.items()]

    async def cancel_all(self) -> None:
        """Cancel all background tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _task_state(task: asyncio.Task[Any]) -> str:
    if task.cancelled():
        return "cancelled"
    if task.done():
        return f"ended: {task.exception()!r}"
    # Follow the chain of awaited coroutines to the innermost one.
    frames: list[str] = []
    awaited: Any = task.get_coro()
    while (frame := getattr(awaited, "cr_frame", None)) is not None:
        frames.append(f"{frame.f_code.co_qualname}:{frame.f_lineno}")
        awaited = awaited.cr_await
    return " < ".join(reversed(frames)) + f" < {awaited!r}"[:120]
