"""TCP probe of an address."""

import asyncio
import contextlib

from rackswitch.quarantine import ProbeOutcome

__all__ = ["probe_target"]


async def probe_target(host: str, port: int, timeout_seconds: float) -> ProbeOutcome:
    """Try to connect once, and close the connection.

    Parameters
    ----------
    host, port : str, int
        Address to connect to.
    timeout_seconds : float
        Connection timeout.

    Returns
    -------
    ProbeOutcome
        REFUSED only if the VM rejected the connection because the port is closed.
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
        # A reset during the close does not matter: the connection was accepted.
        await writer.wait_closed()
    return ProbeOutcome.ANSWERED
