"""The decision log: JSON lines on standard output that never hold the program up."""

import os
import time
from collections import deque
from typing import Any

import msgspec

__all__ = ["DecisionLog"]

MOST_WAITING_LINES = 4000
"""Lines kept while nobody reads; some 1 MB. Later ones are dropped and counted."""

WRITE_BYTES = 32_768
"""Half of a pipe's usual buffer, so that a write is seldom partial."""


class DecisionLog:
    """Writes one line for each decision.

    Lines wait in a bounded queue and are written without blocking; `pump` is to be called
    regularly. A line that finds the queue full is dropped, and the next line that fits
    tells how many were.

    Parameters
    ----------
    daemon : str
        Name on each line.
    descriptor : int
        Where to write; 1 is standard output.
    """

    __slots__ = ("_daemon", "_descriptor", "_lines", "_partial", "dropped")

    def __init__(self, daemon: str, descriptor: int = 1):
        self._daemon = daemon
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Queue a line.

        Parameters
        ----------
        event : str
            What was decided or learnt.
        **fields
            Identity of the request or job, the inputs with their age or version, and the
            outcome.
        """
        if len(self._lines) >= MOST_WAITING_LINES:
            self.dropped += 1
            return
        record: dict[str, Any] = {
            "time": round(time.time(), 4),
            "daemon": self._daemon,
            "event": event,
            **fields,
        }
        if self.dropped:
            record["lines_dropped_before"] = self.dropped
            self.dropped = 0
        self._lines.append(msgspec.json.encode(record) + b"\n")

    def pump(self) -> bool:
        """Write what fits now; return whether lines are left."""
        while self._partial or self._lines:
            if not self._partial:
                self._partial = self._next_block()
            try:
                count = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return True
            except OSError:
                # Nobody will read any more; the program goes on without its log.
                self._lines.clear()
                self._partial = b""
                return False
            self._partial = self._partial[count:]
        return False

    def _next_block(self) -> bytes:
        block: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            block.append(line)
        return b"".join(block)
