"""Latency and CPU time that a daemon adds to a stream, and the cost of claims.

All paths run in one process, one after the other. The CPU time of a path minus that of the
direct path is the cost of what lies between caller and engine.

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
CONCURRENCY = 8
TOKENS = 64


class PassThrough:
    """A plain relay on the same libraries, without checks, routing or limits."""

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


async def run_concurrently(calls: list, concurrency: int) -> None:
    semaphore = asyncio.Semaphore(concurrency)

    async def run_call(call) -> None:
        async with semaphore:
            await call()

    await asyncio.gather(*(run_call(call) for call in calls))


async def measure_streams(url: str) -> dict[str, float]:
    caller = CallerStandIn(CALLER_TOKEN, [url])
    model = REGISTER.application
    calls = [lambda n=n: caller.complete(model, f"text {n}", TOKENS, n) for n in range(REQUESTS)]
    await run_concurrently(calls[:20], CONCURRENCY)
    caller.record = type(caller.record)()
    cpu_began_seconds, wall_began_seconds = time.process_time(), time.perf_counter()
    await run_concurrently(calls, CONCURRENCY)
    row = {
        "completed": caller.record.completed,
        "p50_ms": caller.record.percentile_ms(50),
        "p99_ms": caller.record.percentile_ms(99),
        "cpu_seconds": round(time.process_time() - cpu_began_seconds, 3),
        "wall_seconds": round(time.perf_counter() - wall_began_seconds, 3),
    }
    await caller.close()
    return row


async def measure_claims(
    fleet: EmbeddedFleet, with_key: bool, concurrency: int
) -> dict[str, float]:
    caller = CallerStandIn(CALLER_TOKEN, fleet.urls())
    calls = []
    for number in range(REQUESTS):
        key = f"{concurrency}-{number}" if with_key else None
        path = f"p{number}"
        calls.append(
            lambda path=path, key=key: caller.call_service(REGISTER.service, path, b"x", key)
        )
    kv_calls_before = fleet.kv.calls
    began_seconds = time.perf_counter()
    await run_concurrently(calls, concurrency)
    await asyncio.sleep(0.2)
    background_kv_calls = 6.0 * (time.perf_counter() - began_seconds)
    row = {
        "claimed": with_key,
        "width": concurrency,
        "completed": caller.record.completed,
        "p50_ms": caller.record.percentile_ms(50),
        "p99_ms": caller.record.percentile_ms(99),
        "kv_calls_per_request": round(
            max(0.0, fleet.kv.calls - kv_calls_before - background_kv_calls) / REQUESTS, 2
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
        results[name] = await measure_streams(url)
        print(name, json.dumps(results[name]), flush=True)
    direct_cpu = results["direct"]["cpu_seconds"]
    total_tokens = 0
    for engine in fleet.engines.values():
        total_tokens += sum(len(made) for made in engine.made.values())
    for name in ("pass_through", "daemon"):
        added_cpu_seconds = results[name]["cpu_seconds"] - direct_cpu
        results[name]["tokens_per_core_second"] = round(
            total_tokens / 3 / max(added_cpu_seconds, 1e-3)
        )
    rows = []
    for concurrency in (1, 8, 64):
        for with_key in (False, True):
            rows.append(await measure_claims(fleet, with_key, concurrency))
            print(json.dumps(rows[-1]), flush=True)
    results["claims"] = rows
    print(json.dumps(results))
    await relay.close()
    await fleet.stop()
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "callers.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
