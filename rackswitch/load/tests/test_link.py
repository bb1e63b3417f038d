"""Fault injection by links between real sockets."""

import asyncio

import pytest

from rackswitch.load.link import BACKWARD, BOTH, FORWARD, Link, LinkFaults

SHORT_SECONDS = 0.2
TIMEOUT_SECONDS = 5.0


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def run_scenario(scenario) -> None:
    """Run a scenario on an open link to an echo server."""

    async def run_with_link() -> None:
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        link = Link(f"{host}:{port}")
        await link.open()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await scenario(link)
        finally:
            await link.close()
            server.close()

    asyncio.run(run_with_link())


async def _connect(link: Link) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = link.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def test_forwards_data_in_both_directions():
    async def scenario(link):
        reader, writer = await _connect(link)
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("blocked_directions", [BOTH, {FORWARD}, {BACKWARD}])
def test_blocked_data_is_forwarded_after_the_fault(blocked_directions):
    async def scenario(link):
        reader, writer = await _connect(link)
        link.set_faults(LinkFaults(blocked_directions=frozenset(blocked_directions)))
        writer.write(b"hello")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(5), SHORT_SECONDS)
        link.set_faults(LinkFaults())
        assert await reader.readexactly(5) == b"hello"

    run_scenario(scenario)


def test_delay_applies_in_both_directions():
    async def scenario(link):
        reader, writer = await _connect(link)
        link.set_faults(LinkFaults(delay_seconds=SHORT_SECONDS))
        start_seconds = asyncio.get_running_loop().time()
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        assert asyncio.get_running_loop().time() - start_seconds >= 2 * SHORT_SECONDS

    run_scenario(scenario)


def test_reset_reaches_the_client_and_new_connections_work():
    async def scenario(link):
        reader, writer = await _connect(link)
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        await link.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        reader, writer = await _connect(link)
        writer.write(b"again")
        assert await reader.readexactly(5) == b"again"

    run_scenario(scenario)


def test_closed_link_refuses_connections_and_reopens_on_the_same_port():
    async def scenario(link):
        port = link.port
        await link.close()
        with pytest.raises(ConnectionRefusedError):
            await _connect(link)
        await link.open()
        assert link.port == port
        await _connect(link)

    run_scenario(scenario)


def test_open_connections_go_silent_while_new_ones_work():
    async def scenario(link):
        reader, writer = await _connect(link)
        writer.write(b"first")
        await reader.readexactly(5)
        link.silence_open_connections()
        writer.write(b"hello")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(5), SHORT_SECONDS)
        new_reader, new_writer = await _connect(link)
        new_writer.write(b"hello")
        assert await new_reader.readexactly(5) == b"hello"
        writer.close()
        new_writer.close()

    run_scenario(scenario)
