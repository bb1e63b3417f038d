"""Addresses on loopback for stand-ins that come back where they were."""

import itertools
import os

__all__ = ["own_loopback_host"]

_NUMBERS = itertools.count()


def own_loopback_host() -> str:
    """Return a loopback address that nothing else in this run uses.

    A port of the common address that is left for a moment may be taken by any connection that
    somebody on this machine opens meanwhile.
    """
    process = os.getpid()
    return f"127.{1 + process // 250 % 250}.{1 + process % 250}.{1 + next(_NUMBERS) % 250}"
