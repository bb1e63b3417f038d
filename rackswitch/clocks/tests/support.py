"""A machine whose suspension a test brings about."""

import contextlib
import time
from collections.abc import Iterator
from unittest.mock import patch

__all__ = ["Machine", "suspendable_machine"]


class Machine:
    """Clocks that a suspension moves apart."""

    def __init__(self) -> None:
        self.suspended_seconds = 0.0
        self._read = time.clock_gettime

    def clock_gettime(self, clock: int) -> float:
        read_seconds = self._read(clock)
        return read_seconds + self.suspended_seconds * (clock == time.CLOCK_BOOTTIME)


@contextlib.contextmanager
def suspendable_machine() -> Iterator[Machine]:
    machine = Machine()
    with patch("time.clock_gettime", machine.clock_gettime):
        yield machine
