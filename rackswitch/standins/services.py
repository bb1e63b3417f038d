"""Stand-ins for a plain service, a scorer, the weight store and the VM list."""

import asyncio
import hashlib
import time
from typing import Any

import msgspec
from blacksheep import Content, Request, Response

from rackswitch.standins.faults import FaultGate, FaultyApplication
from rackswitch.web import WebServer
from rackswitch.web.handlers import add_route, json_response, make_application, path_value

__all__ = [
    "PlainServiceStandIn",
    "ScorerStandIn",
    "VmListStandIn",
    "WeightStoreStandIn",
    "expected_answer",
    "expected_score",
]


def expected_answer(path: str, body: bytes) -> bytes:
    """Return the answer of the plain service to a call."""
    digest = hashlib.blake2b(path.encode() + b"\n" + body, digest_size=16).hexdigest()
    return msgspec.json.encode({"digest": digest})


def expected_score(prompt: str, text: str) -> float:
    """Return the score of a sample."""
    digest = hashlib.blake2b(f"{prompt}\n{text}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


class _WebStandIn:
    """A web server with a fault gate."""

    def __init__(self, host: str, port: int, seed: int):
        self.gate = FaultGate(seed)
        self.application = make_application()
        self._server = WebServer(FaultyApplication(self.application, self.gate), host, port)

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return self._server.url

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop at once and drop all connections."""
        await self._server.crash()


class PlainServiceStandIn(_WebStandIn):
    """A plain service that counts its runs by idempotency key and by path.

    Parameters
    ----------
    work_seconds : float
        Duration of a call.
    """

    def __init__(self, host: str, port: int, seed: int = 1, work_seconds: float = 0.005):
        super().__init__(host, port, seed)
        self.runs_by_key: dict[str, int] = {}
        self.runs_by_path: dict[str, int] = {}
        self._work_seconds = work_seconds
        for method in ("GET", "POST", "PUT", "DELETE"):
            add_route(self.application, method, "/{path:path}", self._on_call)
        add_route(self.application, "GET", "/record", self._on_record)

    async def _on_call(self, request: Request) -> Response:
        body = await request.read() or b""
        path = request.url.path.decode().lstrip("/")
        key = (request.get_first_header(b"idempotency-key") or b"").decode()
        if key:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        self.runs_by_path[path] = self.runs_by_path.get(path, 0) + 1
        await asyncio.sleep(self._work_seconds)
        return Response(200, content=Content(b"application/json", expected_answer(path, body)))

    async def _on_record(self, request: Request) -> Response:
        return json_response({"runs_by_key": self.runs_by_key})


class ScorerStandIn(_WebStandIn):
    """A scorer that derives each score from a digest of the sample."""

    def __init__(self, host: str, port: int, seed: int = 1):
        super().__init__(host, port, seed)
        self.scored = 0
        add_route(self.application, "POST", "/score", self._on_score)

    async def _on_score(self, request: Request) -> Response:
        body: Any = msgspec.json.decode(await request.read() or b"{}")
        self.scored += 1
        score = expected_score(body["prompt"], body["text"])
        return json_response(
            {"sample_id": body["sample_id"], "score": score, "scorer_version": "scorer@1"}
        )


class WeightStoreStandIn(_WebStandIn):
    """A weight store with a rate limit on reads of weights.

    Parameters
    ----------
    reads_per_second : float
        Rate limit; reads above it get 429.
    """

    def __init__(self, host: str, port: int, seed: int = 1, reads_per_second: float = 200.0):
        super().__init__(host, port, seed)
        self.versions: dict[str, set[int]] = {}
        self._reads_per_second = reads_per_second
        self._available_reads = reads_per_second
        self._refilled_at_seconds = time.monotonic()
        add_route(self.application, "GET", "/models/{model}/versions", self._on_list)
        add_route(self.application, "GET", "/models/{model}/versions/{version}", self._on_read)
        add_route(self.application, "PUT", "/models/{model}/versions/{version}", self._on_publish)

    async def _on_list(self, request: Request) -> Response:
        model = path_value(request, "model")
        return json_response({"versions": sorted(self.versions.get(model, set()))})

    async def _on_read(self, request: Request) -> Response:
        model = path_value(request, "model")
        version = int(path_value(request, "version"))
        if version not in self.versions.get(model, set()):
            return Response(404)
        now_seconds = time.monotonic()
        refill = (now_seconds - self._refilled_at_seconds) * self._reads_per_second
        self._available_reads = min(self._reads_per_second, self._available_reads + refill)
        self._refilled_at_seconds = now_seconds
        if self._available_reads < 1.0:
            return Response(429, [(b"retry-after", b"1")])
        self._available_reads -= 1.0
        return Response(200, content=Content(b"application/octet-stream", b"weights"))

    async def _on_publish(self, request: Request) -> Response:
        model = path_value(request, "model")
        version = int(path_value(request, "version"))
        self.versions.setdefault(model, set()).add(version)
        return Response(204)


class VmListStandIn(_WebStandIn):
    """A VM list that shows each change after a delay.

    Parameters
    ----------
    lag_seconds : float
        Delay until a change is listed.
    """

    def __init__(self, host: str, port: int, seed: int = 1, lag_seconds: float = 0.5):
        super().__init__(host, port, seed)
        self._lag_seconds = lag_seconds
        self._vms: dict[str, dict[str, Any]] = {}
        self._listed_from_seconds: dict[str, float] = {}
        self._listed: dict[str, dict[str, Any]] = {}
        add_route(self.application, "GET", "/vms", self._on_list)
        add_route(self.application, "PUT", "/vms/{name}", self._on_put)

    def put(self, vm: dict[str, Any]) -> None:
        """Add or change a VM."""
        self._vms[vm["name"]] = vm
        self._listed_from_seconds[vm["name"]] = time.monotonic() + self._lag_seconds

    async def _on_put(self, request: Request) -> Response:
        name = path_value(request, "name")
        vm: Any = msgspec.json.decode(await request.read() or b"{}")
        vm["name"] = name
        self.put(vm)
        return Response(204)

    async def _on_list(self, request: Request) -> Response:
        now_seconds = time.monotonic()
        for name, vm in self._vms.items():
            if now_seconds >= self._listed_from_seconds[name]:
                self._listed[name] = vm
        return json_response({"vms": list(self._listed.values())})
