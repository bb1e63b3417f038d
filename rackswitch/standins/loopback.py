"""Loopback addresses for stand-ins that restart at the same address."""

import itertools
import os

__all__ = ["own_loopback_host"]

_COUNTER = itertools.count()


def own_loopback_host() -> str:
    """Return a loopback address that nothing else in this run uses.

    On 127.0.0.1, another process may take the port while a stand-in restarts.
    """
    process_id = os.getpid()
    return f"127.{1 + process_id // 250 % 250}.{1 + process_id % 250}.{1 + next(_COUNTER) % 250}"
