"""The weight store: which versions of a model are published."""

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec

from rackswitch.platform.http import HttpSessions

__all__ = ["PublishedVersions", "StoreUnavailable", "WeightStoreClient"]

CALL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class PublishedVersions:
    """The newest published version of a model; 0 if none."""

    latest: int


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """No answer, or a refusal by the store's rate limit."""

    detail: str


class _WireVersions(msgspec.Struct, frozen=True):
    versions: list[int]


class WeightStoreClient:
    """Client of the weight store's HTTP interface.

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
        """Read which versions of a model are there."""
        url = f"{self._url}/models/{model}/versions"
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_SECONDS),
                self._sessions.pooled.get(url) as answer,
            ):
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return StoreUnavailable(type(error).__name__)
        if answer.status != 200:
            return StoreUnavailable(f"status {answer.status}")
        try:
            versions = msgspec.json.decode(content, type=_WireVersions).versions
        except msgspec.DecodeError as error:
            return StoreUnavailable(f"cannot read the answer: {error}")
        return PublishedVersions(max(versions, default=0))
