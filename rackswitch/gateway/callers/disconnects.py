"""Work on a request that ends when its caller leaves."""

import asyncio
from typing import Any

from rackswitch.web.exchange import Exchange

__all__ = ["done_before_disconnect"]


async def done_before_disconnect(exchange: Exchange, work: asyncio.Task[Any]) -> bool:
    """Wait for work on a request; cancel it and return False if the caller goes first."""
    gone = asyncio.create_task(exchange.wait_gone())
    try:
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
    finally:
        gone.cancel()
        if not work.done():
            work.cancel()
    if work.done():
        return True
    await asyncio.wait((work,))
    return False
