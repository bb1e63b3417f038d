"""Stand-ins of the operator platform's engines and plain services.

They record what they were asked, so that tests can check from the outside
what ran where, how often and with which bytes.
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

EVENT_SECONDS = 0.004
LOAD_SECONDS = 0.1
MAX_BODY_BYTES = 1_000_000


@dataclass(slots=True)
class TargetFaults:
    """What a target does wrong from now on.

    Attributes
    ----------
    refuse : bool
        Says of every request that it did not run it.
    mute : bool
        Takes requests, runs them and never answers.
    foreign : bool
        Answers with another request's identity.
    encoded : bool
        Claims that its answers are encoded.
    break_after : int
        Breaks streams off inside the event after so many; 0 for never.
    status : int
        Status of its answers.
    end_on : bytes
        Ends as soon as it begins a request with this body, and starts again after
        `back_after_seconds` at the same address; nothing if it is empty.
    keeps_identity : bool
        Whether it is then listed under the identity that it had.
    load_words : (int, int)
        What it says how many requests it runs and how many wait there.
    work_seconds : float
        How long it works on a request before it answers.
    """

    refuse: bool = False
    mute: bool = False
    foreign: bool = False
    encoded: bool = False
    break_after: int = 0
    status: int = 200
    end_on: bytes = b""
    back_after_seconds: float = 0.6
    keeps_identity: bool = False
    load_words: tuple[int, int] = (0, 0)
    work_seconds: float = 0.0


@dataclass(slots=True)
class OrderSeen:
    """An order as it arrived."""

    holder: str
    fence: int
    version: int


@dataclass(slots=True)
class Run:
    """A request as it ran here."""

    request_id: str
    method: str
    target: str
    body: bytes
    version: int
    last_event_id: str | None = None
    headers: tuple[tuple[str, str], ...] = ()

    def values(self, name: str) -> list[str]:
        """Return the values of all headers of a name."""
        return [value for own, value in self.headers if own == name.lower()]


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
        How it lists itself.
    store : PlatformStoreStandIn
        Where it lists itself.
    models : tuple of str
        The models that it runs, at version 1.

    Attributes
    ----------
    listed_address : str
        Where it says that it can be reached, if that is not where it listens.
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
        self.runs: list[Run] = []
        self.orders: list[OrderSeen] = []
        self._store = store
        self._state = _State({model: 1 for model in models})
        self._host = own_loopback_host()
        self._server = WebServer(self._serve, self._host, 0)
        self._born_unix_ms = int(time.time() * 1000)
        self._restarts: set[asyncio.Task[None]] = set()
        self.ended_at_seconds: list[float] = []
        """When its process ended under a request (event loop time)."""

    @property
    def versions(self) -> dict[str, int]:
        """The versions it has."""
        return self._state.versions

    @property
    def address(self) -> str:
        """Where it listens, as HOST:PORT."""
        return self._server.url.removeprefix("http://")

    async def start(self) -> None:
        """Listen and appear in the list."""
        await self._server.start()
        self.list_itself()

    async def crash(self) -> None:
        """Drop all connections and vanish."""
        for restart in self._restarts:
            restart.cancel()
        await self._server.crash()
        self._store.delete(f"servers/{self.instance}")

    async def end_and_start_again(self) -> None:
        """End without a word, and come back at the same address as another start.

        It knows nothing of before then, and its counts start anew.
        """
        self.ended_at_seconds.append(asyncio.get_running_loop().time())
        port = self._server.port
        await self._server.crash()
        await asyncio.sleep(self.faults.back_after_seconds)
        if not self.faults.keeps_identity:
            self._store.delete(f"servers/{self.instance}")
            self.instance = f"{self.instance.partition('.')[0]}.{len(self.ended_at_seconds)}"
        self._born_unix_ms = int(time.time() * 1000)
        self._state = _State({model: 1 for model in self.versions})
        self._server = WebServer(self._serve, self._host, port)
        await self.start()

    def list_itself(self, state: str = "ready") -> None:
        """Write the entry that the platform lists."""
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]
        entry = {
            "service": self.service,
            "address": self.listed_address or self.address,
            "zone": "z",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_left_ms": 0,
            "models": models,
            "seq": 1,
            "born": self._born_unix_ms,
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
            "born": self._born_unix_ms,
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
            await exchange.wait_gone()
            return
        if self.faults.mute:
            await exchange.wait_gone()
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
                # Behind its last event nothing is left of a text, so no version makes any of it.
                headers.append(("x-rackswitch-weight-versions", str(run.version)))
            headers.append(("content-type", "text/event-stream"))
            await exchange.stream(200, tuple(headers), self._events(body, run))
            return
        await exchange.respond(self.faults.status, tuple(headers), b"answer to " + body)

    async def _events(self, body: bytes, run: Run):
        """Yield the events that a body asks for: its text is their number."""
        first = int(run.last_event_id or 0) + 1
        version = run.version
        for number in range(first, int(body) + 1):
            await asyncio.sleep(EVENT_SECONDS)
            present = next(iter(self.versions.values()))
            mark = f"x-rackswitch-weight-versions: {present}\n" if present != version else ""
            version = present
            event = f"{mark}id: {number}\ndata: piece {number}\n\n".encode()
            if self.faults.break_after and number - first >= self.faults.break_after:
                yield event[: len(event) // 2]
                raise ConnectionError("broken off on order")
            yield event
