"""Client of the administration API."""

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp

from rackswitch.clients.http import HttpSession, error_name

__all__ = ["AdminAnswer", "AdminClient"]

CALL_TIMEOUT_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """A response of the API; status 0 if there was none."""

    status: int
    body: Any


class AdminClient:
    """Client of any daemon's administration API.

    Parameters
    ----------
    url : str
        Address of the load balancer or of a daemon.
    token : str
        The operator's bearer token.
    """

    __slots__ = ("_token", "_url")

    def __init__(self, url: str, token: str):
        self._url = url.rstrip("/")
        self._token = token

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> AdminAnswer:
        """Send one request and return its response."""
        return asyncio.run(self._call(method, path, body, headers or {}))

    async def _call(
        self, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> AdminAnswer:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        headers = {**headers, "Authorization": f"Bearer {self._token}"}
        try:
            async with (
                HttpSession(timeout=timeout) as session,
                session.request(method, self._url + path, json=body, headers=headers) as answer,
            ):
                return AdminAnswer(answer.status, await answer.json(content_type=None))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return AdminAnswer(0, {"detail": f"{error_name(error)}: {error}"})
