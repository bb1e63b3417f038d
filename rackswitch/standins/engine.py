"""Stand-in of a model engine with continuous batching.

Each token follows from the seed, the prompt and the tokens before it, so an
answer can be checked from its request alone, resumed streams included. The
engine keeps its own record of which versions made each token.
"""

import asyncio
import hashlib
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
from blacksheep import Request, Response, StreamedContent

from rackswitch.standins.faults import FaultGate, FaultyApplication
from rackswitch.web import WebServer
from rackswitch.web.handlers import add_route, json_response, make_application, watch_disconnect

__all__ = ["EngineStandIn", "expected_tokens", "token_text"]

TICK_SECONDS = 0.005
PREFIX_CHUNK_CHARACTERS = 64
MEAN_LENGTH_TOKENS = 48
VOCABULARY = 50_000
REPORT_LAG_SECONDS = 0.1
DONE = b"[DONE]"


class _State:
    """The generator of one request's tokens."""

    __slots__ = ("_digest",)

    def __init__(self, prompt: str, seed: int):
        self._digest = hashlib.blake2b(f"{seed}|{prompt}".encode(), digest_size=8)

    def next_token(self) -> tuple[int, bool]:
        """Return the next token and whether it is the last."""
        number = int.from_bytes(self._digest.digest(), "big")
        token = number % VOCABULARY
        self._digest.update(token.to_bytes(4, "big"))
        return token, (number >> 32) % MEAN_LENGTH_TOKENS == 0


def token_text(token: int) -> str:
    """Return a token's text."""
    return f" {token}"


def expected_tokens(prompt: str, seed: int, max_tokens: int) -> list[int]:
    """Return the whole answer that any engine gives to a request."""
    state = _State(prompt, seed)
    tokens: list[int] = []
    while len(tokens) < max_tokens:
        token, last = state.next_token()
        tokens.append(token)
        if last:
            break
    return tokens


class _WireRequest(msgspec.Struct):
    prompt: str
    max_tokens: int = 16
    seed: int = 0
    priority: int = 0
    stream: bool = False
    resume_token_ids: tuple[int, ...] = ()


@dataclass(slots=True, eq=False)
class _Running:
    request_id: str
    wire: _WireRequest
    state: _State
    queue: asyncio.Queue[bytes | None] = field(default_factory=asyncio.Queue)
    made: int = 0
    made_here: int = 0
    prefill_tokens: float = 0.0
    cancelled: bool = False

    def cancel(self) -> None:
        """End the stream; its client is gone or is to be cut off."""
        self.cancelled = True
        self.queue.put_nowait(None)


@dataclass(slots=True)
class _Swap:
    fail_next: int = 0
    highest_fencing: int = 0


class EngineStandIn:
    """An engine with a finite token rate.

    Parameters
    ----------
    name, model : str
        The engine and the model it runs.
    tokens_per_second : float
        Over all requests of the batch.
    batch_width : int
        Requests that run side by side; the others wait by priority.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    store_url : str or None
        Weight store to load versions from; without it loading only takes time.
    """

    def __init__(
        self,
        name: str,
        model: str,
        host: str,
        port: int,
        *,
        tokens_per_second: float = 3000.0,
        batch_width: int = 16,
        version: int = 1,
        checks_fencing: bool = True,
        load_seconds: float = 0.2,
        store_url: str | None = None,
        cached_chunks: int = 512,
        seed: int = 1,
    ):
        self.name = name
        self.gate = FaultGate(seed)
        self.version: int | None = version
        self.loading = False
        self.runs: dict[str, int] = {}
        self.made: dict[tuple[str, int], dict[int, set[int | None]]] = {}
        self.cache_hits = 0
        self.cache_misses = 0
        self.swap = _Swap()
        self.orders: list[tuple[int, int]] = []
        self.slow_factor = 1.0
        self._model = model
        self._tokens_per_second = tokens_per_second
        self._batch_width = batch_width
        self._checks_fencing = checks_fencing
        self._load_seconds = load_seconds
        self._store_url = store_url
        self._cached_chunks = cached_chunks
        self._waiting: list[_Running] = []
        self._batch: list[_Running] = []
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._reports: deque[tuple[float, float]] = deque([(0.0, 0.0)])
        self._ticker: asyncio.Task[None] | None = None
        application = make_application()
        add_route(application, "POST", "/v1/completions", self._on_completion)
        add_route(application, "POST", "/update_weights", self._on_update_weights)
        add_route(application, "GET", "/server_info", self._on_info)
        add_route(application, "GET", "/record", self._on_record)
        self._server = WebServer(FaultyApplication(application, self.gate), host, port)

    @property
    def url(self) -> str:
        """The engine's address."""
        return self._server.url

    async def start(self) -> None:
        """Serve."""
        await self._server.start()
        self._ticker = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Die at once; what runs is lost."""
        if self._ticker is not None:
            self._ticker.cancel()
        await self._server.crash()

    def break_streams(self) -> None:
        """Cut every running stream in the middle."""
        for running in [*self._batch, *self._waiting]:
            running.cancel()

    async def _on_completion(self, request: Request) -> Response:
        try:
            wire = msgspec.json.decode(await request.read() or b"", type=_WireRequest)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error)}, 400)
        if self.loading and self.version is None:
            return json_response({"error": "no weights"}, 503)
        request_id = (request.get_first_header(b"x-request-id") or b"none").decode()
        running = self._enqueue(request_id, wire)
        watcher = watch_disconnect(request, running.cancel)

        async def events() -> AsyncIterator[bytes]:
            try:
                while (data := await running.queue.get()) is not None:
                    yield b"data: " + data + b"\n\n"
                    if data == DONE:
                        return
                raise ConnectionAbortedError("stream cut")
            finally:
                watcher.cancel()

        load = msgspec.json.encode({"named_metrics": {"queued_tokens": self._queued_tokens()}})
        headers = [(b"endpoint-load-metrics", b"JSON " + load)]
        return Response(200, headers, StreamedContent(b"text/event-stream", events))

    def _enqueue(self, request_id: str, wire: _WireRequest) -> _Running:
        state = _State(wire.prompt, wire.seed)
        for _ in wire.resume_token_ids:
            state.next_token()
        running = _Running(request_id, wire, state, made=len(wire.resume_token_ids))
        running.prefill_tokens = self._uncached_tokens(wire.prompt)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._waiting.append(running)
        return running

    def _uncached_tokens(self, prompt: str) -> float:
        missed = 0
        chunks = prefix_chunks(prompt)
        for chunk in chunks:
            if chunk in self._cache:
                self._cache.move_to_end(chunk)
                self.cache_hits += 1
            else:
                self._cache[chunk] = None
                self.cache_misses += 1
                missed += 1
        while len(self._cache) > self._cached_chunks:
            self._cache.popitem(last=False)
        return missed * PREFIX_CHUNK_CHARACTERS / 4

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        last_seconds = loop.time()
        credit = 0.0
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now_seconds = loop.time()
            rate = self._tokens_per_second / self.slow_factor
            credit = min(credit + (now_seconds - last_seconds) * rate, rate * 0.1 + 1)
            last_seconds = now_seconds
            self._note_load(now_seconds)
            if self.loading or self.gate.order.mode == "freeze":
                credit = 0.0
                continue
            self._fill_batch()
            credit = self._generate(credit)

    def _fill_batch(self) -> None:
        self._batch = [running for running in self._batch if not running.cancelled]
        self._waiting = [running for running in self._waiting if not running.cancelled]
        everyone = sorted([*self._batch, *self._waiting], key=lambda each: each.wire.priority)
        self._batch = everyone[: self._batch_width]
        self._waiting = everyone[self._batch_width :]

    def _generate(self, credit: float) -> float:
        while credit >= 1.0 and self._batch:
            for running in list(self._batch):
                if credit < 1.0:
                    break
                credit -= 1.0
                if running.prefill_tokens > 0:
                    # Prompt tokens are read some ten times faster than tokens are made.
                    running.prefill_tokens -= 10.0
                    continue
                self._make_token(running)
        return min(credit, 1.0) if not self._batch else credit

    def _make_token(self, running: _Running) -> None:
        token, last = running.state.next_token()
        running.made += 1
        running.made_here += 1
        made = self.made.setdefault((running.wire.prompt, running.wire.seed), {})
        made.setdefault(running.made, set()).add(self.version)
        finish = "stop" if last else "length" if running.made >= running.wire.max_tokens else None
        running.queue.put_nowait(self._wire_chunk(running, token, finish))
        if finish is not None:
            running.queue.put_nowait(DONE)
            self._batch.remove(running)

    def _wire_chunk(self, running: _Running, token: int, finish: str | None) -> bytes:
        choice = {
            "index": 0,
            "text": token_text(token),
            "token_ids": [token],
            "finish_reason": finish,
        }
        return msgspec.json.encode(
            {
                "id": running.request_id,
                "object": "text_completion",
                "choices": [choice],
                "system_fingerprint": self._fingerprint(),
                "usage": {"completion_tokens": running.made_here},
            }
        )

    def _fingerprint(self) -> str | None:
        return None if self.version is None else f"{self._model}@{self.version}"

    def _note_load(self, now_seconds: float) -> None:
        self._reports.append((now_seconds, self._queued_tokens()))
        while len(self._reports) > 1 and self._reports[1][0] <= now_seconds - REPORT_LAG_SECONDS:
            self._reports.popleft()

    def _queued_tokens(self) -> float:
        queued = 0.0
        for running in [*self._batch, *self._waiting]:
            expected = min(running.wire.max_tokens, MEAN_LENGTH_TOKENS)
            queued += max(1.0, expected - running.made_here)
        return queued

    async def _on_info(self, request: Request) -> Response:
        return json_response(
            {
                "system_fingerprint": self._fingerprint(),
                "loading": self.loading,
                "queued_tokens": self._reports[0][1],
            }
        )

    async def _on_record(self, request: Request) -> Response:
        return json_response({"runs": self.runs})

    async def _on_update_weights(self, request: Request) -> Response:
        order: Any = msgspec.json.decode(await request.read() or b"{}")
        fencing = int(order["fencing"])
        version = int(order["weight_version"].rsplit("@", 1)[1])
        if self._checks_fencing and fencing < self.swap.highest_fencing:
            return json_response({"error": "old fencing number"}, 409)
        if self.loading:
            return json_response({"error": "another load is under way"}, 409)
        self.swap.highest_fencing = max(self.swap.highest_fencing, fencing)
        self.orders.append((fencing, version))
        self.loading = True
        loaded = await self._load(version)
        self.loading = False
        return json_response({"loaded": loaded}, 200 if loaded else 500)

    async def _load(self, version: int) -> bool:
        await asyncio.sleep(self._load_seconds)
        if self._store_url is not None and not await self._fetch(version):
            return False
        if self.swap.fail_next > 0:
            # Half of the weights are swapped: the version is not known any more.
            self.swap.fail_next -= 1
            self.version = None
            return False
        self.version = version
        self._cache.clear()
        return True

    async def _fetch(self, version: int) -> bool:
        url = f"{self._store_url}/models/{self._model}/versions/{version}"
        for _ in range(20):
            async with aiohttp.ClientSession() as session, session.get(url) as answer:
                if answer.status == 200:
                    return True
                if answer.status != 429:
                    return False
            await asyncio.sleep(0.05)
        return False


def prefix_chunks(prompt: str) -> list[int]:
    """Return one number for each whole chunk's prefix of a prompt."""
    ends = range(PREFIX_CHUNK_CHARACTERS, len(prompt) + 1, PREFIX_CHUNK_CHARACTERS)
    return [hash(prompt[:end]) for end in ends]
