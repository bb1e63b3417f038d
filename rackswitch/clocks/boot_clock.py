"""Running a program on an event loop whose clock counts a machine's suspension."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["BootClockLoop", "run_on_boot_clock", "suspended_seconds"]

T = TypeVar("T")


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop that goes by the time since the machine's start.

    The steady clock, by which loops go otherwise, stands still while a machine is suspended: a
    daemon that woke held its roles and its jobs for as long as it had slept, and went on with
    requests that their callers had given up. Waits for input and output still end by the steady
    clock, so a timer that passed in a suspension fires at the next event or, at the latest, as much
    later as it had to go: some 0.1 s in a gateway, whose keepers look that often.
    """

    def time(self) -> float:
        """Return the time since the machine's start, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_on_boot_clock(work: Coroutine[Any, Any, T]) -> T:
    """Run a program to its end, as `asyncio.run` does."""
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        return runner.run(work)


def suspended_seconds() -> float:
    """Return how long the machine has been suspended since its start, all together."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
