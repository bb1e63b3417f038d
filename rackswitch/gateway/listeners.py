"""HTTP servers of a daemon: for callers, readiness checks and metrics."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from rackswitch.gateway.callers.caller_handler import CallerHandler
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.daemon_snapshot import DaemonSnapshot
from rackswitch.gateway.store.replica_manager import ReplicaManager
from rackswitch.platform.settings import METRICS_PATH, Address
from rackswitch.web import WebServer
from rackswitch.web.exchange import Exchange

__all__ = ["StatusPages", "make_servers"]


STATUS_PATH = "/status"
JSON_HEADERS = (("content-type", "application/json"),)


class StatusPages:
    """Readiness, metrics and status pages of a daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    replicas : ReplicaManager
        Shows whether the key-value service has been read completely.
    take_snapshot : callable
        Returns a snapshot of the daemon's state.
    """

    __slots__ = ("_take_snapshot", "_context", "_replicas")

    def __init__(
        self,
        context: GatewayContext,
        replicas: ReplicaManager,
        take_snapshot: Callable[[], DaemonSnapshot],
    ):
        self._context = context
        self._replicas = replicas
        self._take_snapshot = take_snapshot

    async def ready(self, exchange: Exchange) -> None:
        """Respond with 200 if this daemon can serve callers, else 503."""
        is_loaded = self._replicas.is_complete and self._context.table_revision > 0
        ready = is_loaded and not self._context.daemon.stopping
        await exchange.respond(200 if ready else 503)

    async def metrics(self, exchange: Exchange) -> None:
        """Respond with the daemon's metrics, or with its snapshot at the status path."""
        if exchange.path == STATUS_PATH:
            await exchange.respond(200, JSON_HEADERS, msgspec.json.encode(self._take_snapshot()))
            return
        if exchange.path != METRICS_PATH:
            await exchange.respond(404)
            return
        metrics_text = self._context.daemon.telemetry.exposition()
        await exchange.respond(200, (("content-type", "text/plain; version=0.0.4"),), metrics_text)


def make_servers(
    context: GatewayContext,
    caller_handler: CallerHandler,
    pages: StatusPages,
    sockets: dict[Address, socket.socket],
) -> list[WebServer]:
    """Return the servers of a daemon, not started yet; the first one serves callers.

    Servers whose address is among the open listening sockets take these over and remove them.
    """
    settings = context.settings
    servers = []
    if settings.callers is not None:
        address = settings.callers
        server = WebServer(
            caller_handler,
            address.host,
            address.port,
            limits=context.connection_limits,
            opened_socket=sockets.pop(address, None),
        )
        servers.append(server)
    for listen_address, handler in (
        (settings.readiness, pages.ready),
        (settings.metrics, pages.metrics),
    ):
        if listen_address is not None:
            server = WebServer(
                _make_application(handler),
                listen_address.host,
                listen_address.port,
                opened_socket=sockets.pop(listen_address, None),
            )
            servers.append(server)
    return servers


def _make_application(handler: Callable[[Exchange], Awaitable[None]]) -> Any:
    async def application(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await handler(Exchange(scope, receive, send))

    return application
