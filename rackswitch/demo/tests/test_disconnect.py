"""Guards against requests that keep running and hold a slot after the caller disconnects."""

import asyncio

import aiohttp

from rackswitch.demo.fleet import CALLER_TOKEN, REGISTER, EmbeddedFleet
from rackswitch.demo.main import wait_ready

TIMEOUT_SECONDS = 20.0


async def cancel_mid_request(stream):
    fleet = EmbeddedFleet(REGISTER, 1, daemon_count=1, tokens_per_second=2.0)
    await fleet.start()
    await wait_ready(fleet)
    daemon = fleet.daemons["d0"]
    body = {"model": REGISTER.application, "prompt": "x", "max_tokens": 500, "stream": stream}
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
    session = aiohttp.ClientSession()
    url = daemon.url + "/v1/completions"
    request = asyncio.create_task(session.post(url, json=body, headers=headers))
    engines = [fleet.engines[f"{REGISTER.application}-{n}"] for n in range(3)]
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not any(engine._batch for engine in engines):
            await asyncio.sleep(0.02)
        request.cancel()
        await session.close()
        while daemon.context.in_flight.count or any(engine._batch for engine in engines):
            await asyncio.sleep(0.02)
    await fleet.stop()


def test_streamed_request_is_cancelled():
    asyncio.run(cancel_mid_request(stream=True))


def test_unstreamed_request_is_cancelled():
    asyncio.run(cancel_mid_request(stream=False))
