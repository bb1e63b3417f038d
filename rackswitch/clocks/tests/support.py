"""A simulated VM that a test can suspend."""

import contextlib
import time
from collections.abc import Iterator
from unittest.mock import patch

__all__ = ["SimulatedVm", "suspendable_vm"]


class SimulatedVm:
    """Clocks that differ by the time of a suspension."""

    def __init__(self) -> None:
        self.suspended_seconds = 0.0
        self._real_clock_gettime = time.clock_gettime

    def clock_gettime(self, clock: int) -> float:
        real_seconds = self._real_clock_gettime(clock)
        return real_seconds + self.suspended_seconds * (clock == time.CLOCK_BOOTTIME)


@contextlib.contextmanager
def suspendable_vm() -> Iterator[SimulatedVm]:
    vm = SimulatedVm()
    with patch("time.clock_gettime", vm.clock_gettime):
        yield vm
