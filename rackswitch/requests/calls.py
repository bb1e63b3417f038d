"""A caller's call that is passed through, and what a target made of it."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from rackswitch.quarantine import request_fingerprint
from rackswitch.tenants import ANONYMOUS, Caller

__all__ = ["Call", "TargetAnswer", "TargetFailed", "TargetStream"]


@dataclass(frozen=True, slots=True)
class Call:
    """A call to be passed through as it came.

    Attributes
    ----------
    request_id : str
        The caller's own identity of this call.
    path : str
        Path and query, byte for byte.
    headers : tuple of (str, str)
        All of the caller's headers.
    caller : Caller
        Who sent it, by the table in force when it came.
    """

    request_id: str
    host: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller: Caller = ANONYMOUS

    def fingerprint(self) -> str:
        """Return what this call has in common with other sends of the same request."""
        tenant = self.caller.tenant
        return request_fingerprint(tenant, self.host, self.method, self.path, self.body)


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target's whole answer, checked to belong to the call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class TargetStream:
    """The head of an answer whose body is still to come.

    Attributes
    ----------
    pieces : async iterator of bytes
        The body; raises ConnectionError if it breaks off.
    close : callable
        Ends the call and the target's work.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    pieces: AsyncIterator[bytes]
    close: Callable[[], None]


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """No usable answer.

    Attributes
    ----------
    may_have_run : bool
        False only if no byte of the call can have reached the target, or the target itself
        said that it did not begin.
    silent : bool
        Whether the target took no connection or did not answer in time.
    not_there : bool
        Whether another target answered at the address.
    """

    may_have_run: bool
    detail: str
    silent: bool = False
    not_there: bool = False
