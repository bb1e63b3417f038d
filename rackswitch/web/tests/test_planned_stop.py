"""A planned stop answers requests that are already sent; tested on raw connections."""

import asyncio

import pytest

from rackswitch.web import WebServer
from rackswitch.web.tests.test_connection_limits import REQUEST, TIMEOUT_SECONDS, answer_ok

SEND_DELAY_SECONDS = 0.15


@pytest.mark.parametrize("used_before", [False, True])
def test_request_in_transit_during_a_planned_stop_is_answered(used_before):
    async def scenario():
        server = WebServer(answer_ok, "127.0.0.1", 0)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        if used_before:
            writer.write(REQUEST)
            await reader.readuntil(b"ok")
        stopping = asyncio.create_task(server.stop())
        await asyncio.sleep(SEND_DELAY_SECONDS)
        writer.write(REQUEST)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answer = await reader.read()
            await stopping
        assert answer.startswith(b"HTTP/1.1 200 ")
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", server.port)
        writer.close()

    asyncio.run(scenario())
