"""Client of the weight store, which lists published model versions."""

from dataclasses import dataclass

import msgspec

from rackswitch.clients.http import CallFailed, HttpSessions, call_json

__all__ = ["PublishedVersions", "StoreUnavailable", "WeightStoreClient"]

CALL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class PublishedVersions:
    """The newest published version of a model; 0 if none."""

    latest: int


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not respond, or refused the call by its rate limit."""

    detail: str


class _WireVersions(msgspec.Struct, frozen=True):
    versions: list[int]


class WeightStoreClient:
    """Client of the weight store's HTTP API.

    Parameters
    ----------
    url : str
        The store's address.
    sessions : HttpSessions
        Connections to use.
    """

    __slots__ = ("_sessions", "_url")

    def __init__(self, url: str, sessions: HttpSessions):
        self._url = url
        self._sessions = sessions

    async def published(self, model: str) -> PublishedVersions | StoreUnavailable:
        """Return the newest published version of a model."""
        url = f"{self._url}/models/{model}/versions"
        wire = await call_json(
            self._sessions.pooled, "GET", url, _WireVersions, CALL_TIMEOUT_SECONDS
        )
        if isinstance(wire, CallFailed):
            return StoreUnavailable(wire.detail)
        return PublishedVersions(max(wire.versions, default=0))
