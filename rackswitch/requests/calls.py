"""A caller's call that is forwarded to a target, and the target's answer."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from rackswitch.quarantine import request_fingerprint
from rackswitch.tenants import ANONYMOUS, Caller

__all__ = ["Call", "TargetAnswer", "TargetFailed", "TargetStream"]


@dataclass(frozen=True, slots=True)
class Call:
    """A call to be forwarded unchanged.

    Attributes
    ----------
    request_id : str
        The caller's identity of this call.
    path : str
        Path and query, byte for byte.
    headers : tuple of (str, str)
        All of the caller's headers.
    caller : Caller
        Who sent it, by the table in force when it arrived.
    """

    request_id: str
    host: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller: Caller = ANONYMOUS

    def fingerprint(self) -> str:
        """Return the fingerprint that all sends of the same request share."""
        tenant = self.caller.tenant
        return request_fingerprint(tenant, self.host, self.method, self.path, self.body)


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target's complete answer, checked to belong to the call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class TargetStream:
    """The head of a streamed answer.

    Attributes
    ----------
    pieces : async iterator of bytes
        The body; raises ConnectionError if the stream is interrupted.
    close : callable
        Ends the call and the target's work on it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    pieces: AsyncIterator[bytes]
    close: Callable[[], None]


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """A call that got no usable answer.

    Attributes
    ----------
    may_have_run : bool
        False only if no byte of the call can have reached the target, or the target itself
        reported that it did not begin.
    is_unresponsive : bool
        Whether the target accepted no connection or did not answer in time.
    is_other_target : bool
        Whether another target answered at the address.
    """

    may_have_run: bool
    detail: str
    is_unresponsive: bool = False
    is_other_target: bool = False
