"""Reading the bodies of answers, up to a maximum size.

A faulty peer may send bytes without end. A timeout alone lets as many arrive as the network
carries.
"""

import aiohttp

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_CONTROL_BODY_BYTES",
    "BodyBudget",
    "BodyTooLargeError",
    "read_body",
]

MAX_BODY_BYTES = 33_554_432
"""Maximum size of an answer to a caller; the default limit of callers' own bodies."""

MAX_CONTROL_BODY_BYTES = 1_048_576
"""Maximum size of an answer that callers never see, such as a report."""

UNCOUNTED_BYTES = 65_536
"""First part of each body that no budget counts, so that large bodies do not prevent small ones."""


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body was given up as too large."""


class BodyBudget:
    """Memory that all bodies of a process may occupy together while they are read.

    Parameters
    ----------
    max_bytes : int
        The maximum.

    Attributes
    ----------
    used_bytes : int
        What the bodies occupy now, without the first part of each.
    """

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def try_use(self, size_bytes: int) -> bool:
        """Use more of the budget; return False if that much is not left."""
        if self.used_bytes + size_bytes > self.max_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def free(self, size_bytes: int) -> None:
        """Return what a body has used."""
        self.used_bytes -= size_bytes


async def read_body(
    answer: aiohttp.ClientResponse,
    max_bytes: int = MAX_CONTROL_BODY_BYTES,
    budget: BodyBudget | None = None,
) -> bytes:
    """Read the body of an answer.

    Parameters
    ----------
    answer : aiohttp.ClientResponse
        The answer. Its connection cannot be used again after an error.
    max_bytes : int, optional
        Maximum size of the body.
    budget : BodyBudget, optional
        Memory shared with other bodies, used until the body is complete.

    Raises
    ------
    BodyTooLargeError
        If the body is larger, or the budget is used up.
    aiohttp.ClientError
        If the connection fails before the end of the body.
    """
    if answer.content_length is not None and answer.content_length > max_bytes:
        raise BodyTooLargeError(
            f"the body has {answer.content_length} of at most {max_bytes} bytes"
        )
    chunks: list[bytes] = []
    size_bytes = used_bytes = 0
    try:
        async for data in answer.content.iter_any():
            size_bytes += len(data)
            if size_bytes > max_bytes:
                raise BodyTooLargeError(f"the body has more than {max_bytes} bytes")
            counted_bytes = max(0, size_bytes - UNCOUNTED_BYTES) - used_bytes
            if budget is not None and counted_bytes > 0:
                if not budget.try_use(counted_bytes):
                    raise BodyTooLargeError(f"bodies take more than {budget.max_bytes} bytes")
                used_bytes += counted_bytes
            chunks.append(data)
    finally:
        if budget is not None:
            budget.free(used_bytes)
    return b"".join(chunks)
