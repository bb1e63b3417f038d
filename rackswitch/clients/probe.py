"""Whether anything takes connections at an address."""

import asyncio
import contextlib

from rackswitch.quarantine import ProbeOutcome

__all__ = ["look_at"]


async def look_at(host: str, port: int, timeout_seconds: float) -> ProbeOutcome:
    """Try to connect once, and close what was opened.

    Parameters
    ----------
    host, port : str, int
        The address.
    timeout_seconds : float
        How long the connection may take.

    Returns
    -------
    ProbeOutcome
        REFUSED only if the machine itself said that nobody listens there.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except (OSError, TimeoutError):
        return ProbeOutcome.SILENT
    writer.close()
    with contextlib.suppress(OSError):
        # Whoever took the connection may reset it as it closes; it was taken all the same.
        await writer.wait_closed()
    return ProbeOutcome.ANSWERED
