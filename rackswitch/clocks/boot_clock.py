"""Running a program on an event loop whose clock counts a machine's suspension."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["run_on_boot_clock"]

T = TypeVar("T")


def run_on_boot_clock(work: Coroutine[Any, Any, T]) -> T:
    """Run a program to its end, as `asyncio.run` does."""
    return asyncio.run(work)
