"""Stand-in engines and plain services of the operator platform.

They record every request, so that tests can check what ran where, how often
and with which bytes.
"""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

from rackswitch.standins.loopback import own_loopback_host
from rackswitch.standins.platform_store import PlatformStoreStandIn
from rackswitch.web import WebServer
from rackswitch.web.exchange import Exchange

__all__ = ["OrderSeen", "PlatformTargetStandIn", "Run", "TargetFaults"]

EVENT_INTERVAL_SECONDS = 0.004
ENDLESS_INTERVAL_SECONDS = 0.002
LOAD_SECONDS = 0.1
MAX_BODY_BYTES = 1_000_000


@dataclass(slots=True)
class TargetFaults:
    """Faults that a target shows from now on.

    Attributes
    ----------
    refuse : bool
        Refuse every request and state that it was not run.
    mute : bool
        Run requests and never answer.
    foreign : bool
        Answer with the id of another request.
    encoded : bool
        Add a content-encoding header to answers that are not encoded.
    break_after : int
        Interrupt streams inside the event after this many; 0 for never.
    silent_after : int
        Send no more after this many events of a stream, until its caller leaves; 0 for never.
    endless : bytes
        Repeat these bytes without end in place of the rest of an answer, until its caller leaves;
        after the first event of a stream. Empty for never.
    status : int
        Status of the answers.
    end_on : bytes
        Crash on a request with this body and restart at the same address after
        `back_after_seconds`; empty for never.
    keeps_identity : bool
        Whether the restarted target is listed under its previous instance name.
    load_words : (int, int)
        Reported load: requests running and requests waiting.
    work_seconds : float
        Time from a request to its answer.
    """

    refuse: bool = False
    mute: bool = False
    foreign: bool = False
    encoded: bool = False
    break_after: int = 0
    silent_after: int = 0
    endless: bytes = b""
    status: int = 200
    end_on: bytes = b""
    back_after_seconds: float = 0.6
    keeps_identity: bool = False
    load_words: tuple[int, int] = (0, 0)
    work_seconds: float = 0.0


@dataclass(slots=True)
class OrderSeen:
    """A load order as received."""

    holder: str
    fence: int
    version: int


@dataclass(slots=True)
class Run:
    """A request as the target ran it."""

    request_id: str
    method: str
    target: str
    body: bytes
    version: int
    last_event_id: str | None = None
    headers: tuple[tuple[str, str], ...] = ()

    def values(self, name: str) -> list[str]:
        """Return the values of all headers with a name."""
        return [value for header_name, value in self.headers if header_name == name.lower()]


@dataclass(slots=True)
class _State:
    versions: dict[str, int] = field(default_factory=dict)
    orders_taken: int = 0
    is_loading: bool = False


class PlatformTargetStandIn:
    """An engine, or a plain service if it has no models.

    Parameters
    ----------
    instance, service : str
        Instance and service name of its entry in the store.
    store : PlatformStoreStandIn
        Store that holds the entry.
    models : tuple of str
        Models that it runs, at version 1.

    Attributes
    ----------
    listed_address : str
        Address to publish instead of the one it listens on; empty for none.
    zone : str
        Zone to publish.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        store: PlatformStoreStandIn,
        models: tuple[str, ...] = (),
    ):
        self.instance = instance
        self.service = service
        self.faults = TargetFaults()
        self.listed_address = ""
        self.zone = "z"
        self.cold_left_ms = 0.0
        self.runs: list[Run] = []
        self.orders: list[OrderSeen] = []
        self._store = store
        self._state = _State({model: 1 for model in models})
        self._host = own_loopback_host()
        self._server = WebServer(self._serve, self._host, 0)
        self._started_unix_ms = int(time.time() * 1000)
        self._restarts: set[asyncio.Task[None]] = set()
        self.ended_at_seconds: list[float] = []
        """Times of crashes on a request (event loop time)."""

    @property
    def versions(self) -> dict[str, int]:
        """Loaded version by model."""
        return self._state.versions

    @property
    def address(self) -> str:
        """Listening address as HOST:PORT."""
        return self._server.url.removeprefix("http://")

    async def start(self) -> None:
        """Listen and publish the entry in the store."""
        await self._server.start()
        self.list_itself()

    async def crash(self) -> None:
        """Drop all connections and delete the entry."""
        for restart in self._restarts:
            restart.cancel()
        await self._server.crash()
        self._store.delete(f"servers/{self.instance}")

    async def end_and_start_again(self) -> None:
        """Crash, then restart at the same address with fresh state."""
        self.ended_at_seconds.append(asyncio.get_running_loop().time())
        port = self._server.port
        await self._server.crash()
        await asyncio.sleep(self.faults.back_after_seconds)
        if not self.faults.keeps_identity:
            self._store.delete(f"servers/{self.instance}")
            self.instance = f"{self.instance.partition('.')[0]}.{len(self.ended_at_seconds)}"
        self._started_unix_ms = int(time.time() * 1000)
        self._state = _State({model: 1 for model in self.versions})
        self._server = WebServer(self._serve, self._host, port)
        await self.start()

    def list_itself(self, state: str = "ready") -> None:
        """Write the target's entry to the store."""
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]
        entry = {
            "service": self.service,
            "address": self.listed_address or self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_left_ms": self.cold_left_ms,
            "models": models,
            "seq": 1,
            "born": self._started_unix_ms,
        }
        self._store.put(f"servers/{self.instance}", entry)

    async def _serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        body = await exchange.read_body(MAX_BODY_BYTES, asyncio.get_running_loop().time() + 5.0)
        expected = exchange.header("X-Rackswitch-Expect-Instance")
        if expected not in (None, self.instance):
            await exchange.respond(421, (("x-rackswitch-instance-id", self.instance),))
        elif exchange.path == "/rackswitch/report":
            await self._report(exchange)
        elif exchange.path == "/rackswitch/order":
            await self._order(
                exchange, msgspec.json.decode(body if isinstance(body, bytes) else b"")
            )
        elif self.faults.refuse or self._state.is_loading:
            await exchange.respond(503, (("x-rackswitch-not-run", "1"),))
        else:
            await self._run(exchange, body if isinstance(body, bytes) else b"")

    async def _report(self, exchange: Exchange) -> None:
        running, waiting = self.faults.load_words
        report = {
            "models": [{"name": name, "version": number} for name, number in self.versions.items()],
            "busy": self._state.is_loading,
            "seq": self._state.orders_taken,
            "waiting": waiting,
            "running": running,
            "born": self._started_unix_ms,
        }
        await exchange.respond(200, (), msgspec.json.encode(report))

    async def _order(self, exchange: Exchange, order: dict[str, Any]) -> None:
        self.orders.append(OrderSeen(order["holder"], order["fence"], order["version"]))
        if self._state.is_loading or order.get("expected") != self._state.orders_taken:
            await exchange.respond(409)
            return
        self._state.orders_taken += 1
        self._state.is_loading = True
        await exchange.respond(202)
        await asyncio.sleep(LOAD_SECONDS)
        self.versions[order["model"]] = order["version"]
        self._state.is_loading = False
        self.list_itself()

    async def _run(self, exchange: Exchange, body: bytes) -> None:
        request_id = exchange.header("X-Rackswitch-Request-Id") or ""
        model = exchange.header("X-Rackswitch-Model") or ""
        run = Run(
            request_id,
            exchange.method,
            exchange.target,
            body,
            self.versions.get(model, 0),
            exchange.header("Last-Event-Id"),
            exchange.headers,
        )
        self.runs.append(run)
        if self.faults.end_on and self.faults.end_on == body:
            restart = asyncio.create_task(self.end_and_start_again())
            self._restarts.add(restart)
            restart.add_done_callback(self._restarts.discard)
            await exchange.wait_for_disconnect()
            return
        if self.faults.mute:
            await exchange.wait_for_disconnect()
            return
        await asyncio.sleep(self.faults.work_seconds)
        headers = [
            ("x-rackswitch-request-id", "foreign" if self.faults.foreign else request_id),
            ("x-rackswitch-server-stamp", f"stamp-{self.instance}-{request_id}"),
        ]
        running, waiting = self.faults.load_words
        if running or waiting:
            headers.append(("x-rackswitch-server-load", f"{running},{waiting},4"))
        if self.faults.encoded:
            headers.append(("content-encoding", "gzip"))
        if model and self.faults.status == 200:
            if int(run.last_event_id or 0) < int(body):
                # Without further events no version contributes to the text.
                headers.append(("x-rackswitch-weight-versions", str(run.version)))
            headers.append(("content-type", "text/event-stream"))
            await exchange.stream(200, tuple(headers), self._events(exchange, body, run))
            return
        if self.faults.endless:
            await exchange.stream(self.faults.status, tuple(headers), self._endless(exchange))
            return
        await exchange.respond(self.faults.status, tuple(headers), b"answer to " + body)

    async def _endless(self, exchange: Exchange):
        """Yield the same bytes until the caller leaves."""
        disconnect = asyncio.create_task(exchange.wait_for_disconnect())
        try:
            while not disconnect.done():
                yield self.faults.endless
                await asyncio.sleep(ENDLESS_INTERVAL_SECONDS)
        finally:
            disconnect.cancel()

    async def _events(self, exchange: Exchange, body: bytes, run: Run):
        """Yield as many events as the number in the body."""
        first = int(run.last_event_id or 0) + 1
        version = run.version
        for number in range(first, int(body) + 1):
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            if self.faults.silent_after and number - first >= self.faults.silent_after:
                await exchange.wait_for_disconnect()
                return
            if self.faults.endless and number > first:
                async for data in self._endless(exchange):
                    yield data
                return
            current_version = next(iter(self.versions.values()))
            version_line = (
                f"x-rackswitch-weight-versions: {current_version}\n"
                if current_version != version
                else ""
            )
            version = current_version
            event = f"{version_line}id: {number}\ndata: piece {number}\n\n".encode()
            if self.faults.break_after and number - first >= self.faults.break_after:
                yield event[: len(event) // 2]
                raise ConnectionError("stream interrupted by an injected fault")
            yield event
