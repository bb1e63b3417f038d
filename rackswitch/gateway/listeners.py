"""Where a daemon listens: for callers, for the balancer, and for readers of its figures."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from rackswitch.gateway.callers.caller_handler import CallerHandler
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.daemon_snapshot import DaemonSnapshot
from rackswitch.gateway.store.watching import ReplicaManager
from rackswitch.platform.settings import METRICS_PATH
from rackswitch.web import WebServer
from rackswitch.web.exchange import Exchange

__all__ = ["StatusPages", "listeners"]


STATUS_PATH = "/status"
JSON = (("content-type", "application/json"),)


class StatusPages:
    """What a daemon tells about itself.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    copies : ReplicaManager
        Whether the key-value service has been read.
    beliefs : callable
        Returns what the daemon believes now.
    """

    __slots__ = ("_beliefs", "_context", "_copies")

    def __init__(
        self, context: GatewayContext, copies: ReplicaManager, beliefs: Callable[[], DaemonSnapshot]
    ):
        self._context = context
        self._copies = copies
        self._beliefs = beliefs

    async def ready(self, exchange: Exchange) -> None:
        """Answer the balancer whether this daemon serves callers."""
        known = self._copies.is_complete and self._context.table_revision > 0
        ready = known and not self._context.daemon.stopping
        await exchange.respond(200 if ready else 503)

    async def metrics(self, exchange: Exchange) -> None:
        """Answer with the daemon's own figures, or with what it believes."""
        if exchange.path == STATUS_PATH:
            await exchange.respond(200, JSON, msgspec.json.encode(self._beliefs()))
            return
        if exchange.path != METRICS_PATH:
            await exchange.respond(404)
            return
        figures = self._context.daemon.telemetry.exposition()
        await exchange.respond(200, (("content-type", "text/plain; version=0.0.4"),), figures)


def listeners(context: GatewayContext, edge: CallerHandler, pages: StatusPages) -> list[WebServer]:
    """Return the servers of a daemon, not started yet; the callers' is the first."""
    settings = context.settings
    servers = []
    if settings.callers is not None:
        address = settings.callers
        server = WebServer(edge, address.host, address.port, limits=context.connection_limits)
        servers.append(server)
    for at, handler in ((settings.readiness, pages.ready), (settings.metrics, pages.metrics)):
        if at is not None:
            servers.append(WebServer(_one_handler(handler), at.host, at.port))
    return servers


def _one_handler(handler: Callable[[Exchange], Awaitable[None]]) -> Any:
    async def application(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await handler(Exchange(scope, receive, send))

    return application
