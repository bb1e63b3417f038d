"""Stand-in model engine with continuous batching.

Each token is determined by the seed, the prompt and the previous tokens, so an
answer, including a resumed stream, can be checked from its request alone. The
engine records which model versions generated each token.
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


class _TokenGenerator:
    """Generates the tokens of one request."""

    __slots__ = ("_digest",)

    def __init__(self, prompt: str, seed: int):
        self._digest = hashlib.blake2b(f"{seed}|{prompt}".encode(), digest_size=8)

    def next_token(self) -> tuple[int, bool]:
        """Return the next token and whether it is the last one."""
        number = int.from_bytes(self._digest.digest(), "big")
        token = number % VOCABULARY
        self._digest.update(token.to_bytes(4, "big"))
        return token, (number >> 32) % MEAN_LENGTH_TOKENS == 0


def token_text(token: int) -> str:
    """Return the text of a token."""
    return f" {token}"


def expected_tokens(prompt: str, seed: int, max_tokens: int) -> list[int]:
    """Return the complete token sequence of a request, the same on every engine."""
    generator = _TokenGenerator(prompt, seed)
    tokens: list[int] = []
    while len(tokens) < max_tokens:
        token, is_last = generator.next_token()
        tokens.append(token)
        if is_last:
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
class _QueuedRequest:
    request_id: str
    wire: _WireRequest
    generator: _TokenGenerator
    queue: asyncio.Queue[bytes | None] = field(default_factory=asyncio.Queue)
    made: int = 0
    generated_here: int = 0
    prefill_tokens: float = 0.0
    cancelled: bool = False

    def cancel(self) -> None:
        """End the stream early."""
        self.cancelled = True
        self.queue.put_nowait(None)


@dataclass(slots=True)
class _WeightLoadState:
    fail_next: int = 0
    highest_fencing: int = 0


class EngineStandIn:
    """An engine with a limited token rate.

    Parameters
    ----------
    name, model : str
        Name of the engine and of the model it runs.
    tokens_per_second : float
        Token rate over all requests of the batch.
    batch_width : int
        Maximum number of requests in the batch; others wait by priority.
    checks_fencing : bool
        Whether to refuse load orders with an old fencing number.
    store_url : str or None
        Weight store to fetch versions from; None to simulate the load time only.
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
        self.swap = _WeightLoadState()
        self.orders: list[tuple[int, int]] = []
        self.slow_factor = 1.0
        self._model = model
        self._tokens_per_second = tokens_per_second
        self._batch_width = batch_width
        self._checks_fencing = checks_fencing
        self._load_seconds = load_seconds
        self._store_url = store_url
        self._cached_chunks = cached_chunks
        self._waiting: list[_QueuedRequest] = []
        self._batch: list[_QueuedRequest] = []
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._load_history: deque[tuple[float, float]] = deque([(0.0, 0.0)])
        self._generation_task: asyncio.Task[None] | None = None
        application = make_application()
        add_route(application, "POST", "/v1/completions", self._on_completion)
        add_route(application, "POST", "/update_weights", self._on_update_weights)
        add_route(application, "GET", "/server_info", self._on_server_info)
        add_route(application, "GET", "/record", self._on_record)
        self._server = WebServer(FaultyApplication(application, self.gate), host, port)

    @property
    def url(self) -> str:
        """Base URL of the engine."""
        return self._server.url

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()
        self._generation_task = asyncio.create_task(self._generate_continuously())

    async def stop(self) -> None:
        """Stop at once and drop running requests."""
        if self._generation_task is not None:
            self._generation_task.cancel()
        await self._server.crash()

    def break_streams(self) -> None:
        """End all running and waiting streams early."""
        for queued_request in [*self._batch, *self._waiting]:
            queued_request.cancel()

    async def _on_completion(self, request: Request) -> Response:
        try:
            wire = msgspec.json.decode(await request.read() or b"", type=_WireRequest)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error)}, 400)
        if self.loading and self.version is None:
            return json_response({"error": "no weights"}, 503)
        request_id = (request.get_first_header(b"x-request-id") or b"none").decode()
        queued_request = self._enqueue(request_id, wire)
        watcher = watch_disconnect(request, queued_request.cancel)

        async def events() -> AsyncIterator[bytes]:
            try:
                while (data := await queued_request.queue.get()) is not None:
                    yield b"data: " + data + b"\n\n"
                    if data == DONE:
                        return
                raise ConnectionAbortedError("stream cancelled")
            finally:
                watcher.cancel()

        load = msgspec.json.encode({"named_metrics": {"queued_tokens": self._queued_tokens()}})
        headers = [(b"endpoint-load-metrics", b"JSON " + load)]
        return Response(200, headers, StreamedContent(b"text/event-stream", events))

    def _enqueue(self, request_id: str, wire: _WireRequest) -> _QueuedRequest:
        generator = _TokenGenerator(wire.prompt, wire.seed)
        for _ in wire.resume_token_ids:
            generator.next_token()
        queued_request = _QueuedRequest(
            request_id, wire, generator, made=len(wire.resume_token_ids)
        )
        queued_request.prefill_tokens = self._uncached_tokens(wire.prompt)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._waiting.append(queued_request)
        return queued_request

    def _uncached_tokens(self, prompt: str) -> float:
        missed_chunks = 0
        chunks = prefix_chunks(prompt)
        for chunk in chunks:
            if chunk in self._cache:
                self._cache.move_to_end(chunk)
                self.cache_hits += 1
            else:
                self._cache[chunk] = None
                self.cache_misses += 1
                missed_chunks += 1
        while len(self._cache) > self._cached_chunks:
            self._cache.popitem(last=False)
        return missed_chunks * PREFIX_CHUNK_CHARACTERS / 4

    async def _generate_continuously(self) -> None:
        loop = asyncio.get_running_loop()
        last_seconds = loop.time()
        token_budget = 0.0
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now_seconds = loop.time()
            rate = self._tokens_per_second / self.slow_factor
            token_budget = min(token_budget + (now_seconds - last_seconds) * rate, rate * 0.1 + 1)
            last_seconds = now_seconds
            self._record_load(now_seconds)
            if self.loading or self.gate.order.mode == "freeze":
                token_budget = 0.0
                continue
            self._fill_batch()
            token_budget = self._generate(token_budget)

    def _fill_batch(self) -> None:
        self._batch = [
            queued_request for queued_request in self._batch if not queued_request.cancelled
        ]
        self._waiting = [
            queued_request for queued_request in self._waiting if not queued_request.cancelled
        ]
        all_requests = sorted([*self._batch, *self._waiting], key=lambda each: each.wire.priority)
        self._batch = all_requests[: self._batch_width]
        self._waiting = all_requests[self._batch_width :]

    def _generate(self, token_budget: float) -> float:
        while token_budget >= 1.0 and self._batch:
            for queued_request in list(self._batch):
                if token_budget < 1.0:
                    break
                token_budget -= 1.0
                if queued_request.prefill_tokens > 0:
                    # Prefill is ten times as fast as generation.
                    queued_request.prefill_tokens -= 10.0
                    continue
                self._make_token(queued_request)
        return min(token_budget, 1.0) if not self._batch else token_budget

    def _make_token(self, queued_request: _QueuedRequest) -> None:
        token, is_last = queued_request.generator.next_token()
        queued_request.made += 1
        queued_request.generated_here += 1
        made = self.made.setdefault((queued_request.wire.prompt, queued_request.wire.seed), {})
        made.setdefault(queued_request.made, set()).add(self.version)
        finish = (
            "stop"
            if is_last
            else "length"
            if queued_request.made >= queued_request.wire.max_tokens
            else None
        )
        queued_request.queue.put_nowait(self._wire_chunk(queued_request, token, finish))
        if finish is not None:
            queued_request.queue.put_nowait(DONE)
            self._batch.remove(queued_request)

    def _wire_chunk(self, queued_request: _QueuedRequest, token: int, finish: str | None) -> bytes:
        choice = {
            "index": 0,
            "text": token_text(token),
            "token_ids": [token],
            "finish_reason": finish,
        }
        return msgspec.json.encode(
            {
                "id": queued_request.request_id,
                "object": "text_completion",
                "choices": [choice],
                "system_fingerprint": self._fingerprint(),
                "usage": {"completion_tokens": queued_request.generated_here},
            }
        )

    def _fingerprint(self) -> str | None:
        return None if self.version is None else f"{self._model}@{self.version}"

    def _record_load(self, now_seconds: float) -> None:
        self._load_history.append((now_seconds, self._queued_tokens()))
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now_seconds - REPORT_LAG_SECONDS
        ):
            self._load_history.popleft()

    def _queued_tokens(self) -> float:
        total_tokens = 0.0
        for queued_request in [*self._batch, *self._waiting]:
            expected = min(queued_request.wire.max_tokens, MEAN_LENGTH_TOKENS)
            total_tokens += max(1.0, expected - queued_request.generated_here)
        return total_tokens

    async def _on_server_info(self, request: Request) -> Response:
        return json_response(
            {
                "system_fingerprint": self._fingerprint(),
                "loading": self.loading,
                "queued_tokens": self._load_history[0][1],
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
            # A failed load leaves partly replaced weights, so the version is unknown.
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
    """Return a hash of the prompt prefix up to the end of each full chunk."""
    ends = range(PREFIX_CHUNK_CHARACTERS, len(prompt) + 1, PREFIX_CHUNK_CHARACTERS)
    return [hash(prompt[:end]) for end in ends]
