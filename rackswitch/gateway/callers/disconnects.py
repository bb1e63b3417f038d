"""Cancelling the work on a request when its caller disconnects."""

import asyncio
from typing import Any

from rackswitch.web.exchange import Exchange

__all__ = ["done_before_disconnect"]


async def done_before_disconnect(exchange: Exchange, work: asyncio.Task[Any]) -> bool:
    """Wait for `work`; cancel it and return False if the caller disconnects first."""
    disconnect = asyncio.create_task(exchange.wait_for_disconnect())
    try:
        await asyncio.wait((work, disconnect), return_when=asyncio.FIRST_COMPLETED)
    finally:
        disconnect.cancel()
        if not work.done():
            work.cancel()
    if work.done():
        return True
    await asyncio.wait((work,))
    return False
