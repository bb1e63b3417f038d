"""An event loop whose clock includes the time that the VM is suspended."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["BootClockLoop", "run_on_boot_clock", "suspended_seconds"]

T = TypeVar("T")


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the boot-time clock.

    The default monotonic clock stops while the VM is suspended, so leases and deadlines would not
    expire during a suspension. The selector still waits by the monotonic clock: a timer that
    expires during a suspension fires at the next event, or at the latest after the selector's
    remaining timeout (about 0.1 s in a gateway, whose tasks wake that often).
    """

    def time(self) -> float:
        """Return the time since the VM's boot, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_on_boot_clock(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine like `asyncio.run`, on a `BootClockLoop`."""
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        return runner.run(coroutine)


def suspended_seconds() -> float:
    """Return the total time that the VM has been suspended since its boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
