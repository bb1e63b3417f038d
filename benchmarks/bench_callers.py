"""Latency that a daemon adds, its cost a token, and the cost of claims.

Everything runs in one process, one way after the other; a way's processor time less
that of the direct way is what lies between client and engine.

    python benchmarks/bench_callers.py
"""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
from blacksheep import Request, Response, StreamedContent

from rackswitch.demo.fleet import CALLER_TOKEN, REGISTER, EmbeddedFleet
from rackswitch.demo.main import wait_ready
from rackswitch.standins.callers import CallerStandIn
from rackswitch.telemetry import set_up_logs
from rackswitch.web import WebServer
from rackswitch.web.handlers import add_route, make_application

RESULTS = Path(__file__).parent / "results"
REQUESTS = 300
WIDTH = 8
TOKENS = 64


class PassThrough:
    """The bare relay on the same libraries: no checks, no choice, no limits."""

    def __init__(self, engine_url: str):
        self._engine_url = engine_url
        self._session = aiohttp.ClientSession()
        application = make_application()
        add_route(application, "POST", "/v1/completions", self._relay)
        self.server = WebServer(application, "127.0.0.1", 0)

    async def _relay(self, request: Request) -> Response:
        body = await request.read()

        async def events() -> AsyncIterator[bytes]:
            url = self._engine_url + "/v1/completions"
            async with self._session.post(url, data=body) as answer:
                async for line in answer.content:
                    yield line

        return Response(200, content=StreamedContent(b"text/event-stream", events))

    async def close(self) -> None:
        await self._session.close()
        await self.server.crash()


async def many(calls: list, width: int) -> None:
    gate = asyncio.Semaphore(width)

    async def one(call) -> None:
        async with gate:
            await call()

    await asyncio.gather(*(one(call) for call in calls))


async def streamed(url: str) -> dict[str, float]:
    caller = CallerStandIn(CALLER_TOKEN, [url])
    model = REGISTER.application
    calls = [lambda n=n: caller.complete(model, f"text {n}", TOKENS, n) for n in range(REQUESTS)]
    await many(calls[:20], WIDTH)
    caller.record = type(caller.record)()
    cpu, wall = time.process_time(), time.perf_counter()
    await many(calls, WIDTH)
    row = {
        "completed": caller.record.completed,
        "p50_ms": caller.record.percentile_ms(50),
        "p99_ms": caller.record.percentile_ms(99),
        "cpu_seconds": round(time.process_time() - cpu, 3),
        "wall_seconds": round(time.perf_counter() - wall, 3),
    }
    await caller.close()
    return row


async def claimed(fleet: EmbeddedFleet, with_key: bool, width: int) -> dict[str, float]:
    caller = CallerStandIn(CALLER_TOKEN, fleet.urls())
    calls = []
    for number in range(REQUESTS):
        key = f"{width}-{number}" if with_key else None
        path = f"p{number}"
        calls.append(
            lambda path=path, key=key: caller.call_service(REGISTER.service, path, b"x", key)
        )
    kv_calls = fleet.kv.calls
    began = time.perf_counter()
    await many(calls, width)
    await asyncio.sleep(0.2)
    background = 6.0 * (time.perf_counter() - began)
    row = {
        "claimed": with_key,
        "width": width,
        "completed": caller.record.completed,
        "p50_ms": caller.record.percentile_ms(50),
        "p99_ms": caller.record.percentile_ms(99),
        "kv_calls_per_request": round(
            max(0.0, fleet.kv.calls - kv_calls - background) / REQUESTS, 2
        ),
    }
    await caller.close()
    return row


async def main() -> None:
    set_up_logs("CRITICAL")
    fleet = EmbeddedFleet(REGISTER, 1, daemon_count=3, tokens_per_second=20000.0)
    await fleet.start()
    await wait_ready(fleet)
    engine_url = fleet.engines[f"{REGISTER.application}-0"].url
    relay = PassThrough(engine_url)
    await relay.server.start()
    results: dict[str, object] = {}
    for name, url in (
        ("direct", engine_url),
        ("pass_through", relay.server.url),
        ("daemon", fleet.daemons["d0"].url),
    ):
        results[name] = await streamed(url)
        print(name, json.dumps(results[name]), flush=True)
    direct_cpu = results["direct"]["cpu_seconds"]
    total_tokens = 0
    for engine in fleet.engines.values():
        total_tokens += sum(len(made) for made in engine.made.values())
    for name in ("pass_through", "daemon"):
        cost = results[name]["cpu_seconds"] - direct_cpu
        results[name]["tokens_per_core_second"] = round(total_tokens / 3 / max(cost, 1e-3))
    rows = []
    for width in (1, 8, 64):
        for with_key in (False, True):
            rows.append(await claimed(fleet, with_key, width))
            print(json.dumps(rows[-1]), flush=True)
    results["claims"] = rows
    print(json.dumps(results))
    await relay.close()
    await fleet.stop()
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "callers.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
