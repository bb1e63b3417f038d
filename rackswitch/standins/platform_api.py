"""Stand-in for the operator platform's API for usage reports and engine orders."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec

from rackswitch.web import WebServer
from rackswitch.web.exchange import Exchange

__all__ = ["ApiCall", "ApiFaults", "PlatformApiStandIn"]

MAX_BODY_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class ApiCall:
    """A call as received."""

    path: str
    holder: str
    fencing: int
    body: dict[str, Any]
    answered: int


@dataclass(slots=True)
class ApiFaults:
    """Faults that the stand-in shows from now on.

    Attributes
    ----------
    status : int
        Status of every answer; 0 for the usual 200.
    lost_answers : int
        Number of next calls to accept without answering.
    """

    status: int = 0
    lost_answers: int = 0


@dataclass(slots=True)
class PlatformApiStandIn:
    """Records usage reports and engine orders in order of arrival."""

    faults: ApiFaults = field(default_factory=ApiFaults)
    calls: list[ApiCall] = field(default_factory=list)
    _server: WebServer = field(init=False)

    def __post_init__(self) -> None:
        self._server = WebServer(self._serve, "127.0.0.1", 0)

    @property
    def url(self) -> str:
        """Base URL of the API."""
        return self._server.url

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop at once and drop all connections."""
        await self._server.crash()

    def usage(self) -> dict[int, dict[str, int]]:
        """Return the accepted usage reports by window."""
        accepted = [call for call in self.calls if call.path == "/usage" and call.answered == 200]
        return {call.body["window"]: call.body["counts"] for call in accepted}

    async def _serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        body = await exchange.read_body(MAX_BODY_BYTES, asyncio.get_running_loop().time() + 5.0)
        status = self.faults.status or 200
        self.calls.append(
            ApiCall(
                exchange.path,
                exchange.header("X-Rackswitch-Duty-Holder") or "",
                int(exchange.header("X-Rackswitch-Fence-Token") or 0),
                msgspec.json.decode(body if isinstance(body, bytes) else b"{}"),
                status,
            )
        )
        if self.faults.lost_answers and status == 200:
            self.faults.lost_answers -= 1
            await exchange.wait_for_disconnect()
            return
        await exchange.respond(status)
