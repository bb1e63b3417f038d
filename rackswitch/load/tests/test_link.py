"""Links between real sockets."""

import asyncio

import pytest

from rackswitch.load.link import BACKWARD, BOTH, FORWARD, Link, LinkFaults

SHORT_SECONDS = 0.2
TIMEOUT_SECONDS = 5.0


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def play(scenario) -> None:
    """Run a scenario on an open link to a server that sends back what it gets."""

    async def whole() -> None:
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

    asyncio.run(whole())


async def _connect(link: Link) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = link.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def test_what_is_sent_passes_both_ways_until_the_client_leaves():
    async def scenario(link):
        reader, writer = await _connect(link)
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        writer.close()

    play(scenario)


@pytest.mark.parametrize("held", [BOTH, {FORWARD}, {BACKWARD}])
def test_what_is_held_up_passes_once_the_fault_has_ended(held):
    async def scenario(link):
        reader, writer = await _connect(link)
        link.set(LinkFaults(held=frozenset(held)))
        writer.write(b"hello")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(5), SHORT_SECONDS)
        link.set(LinkFaults())
        assert await reader.readexactly(5) == b"hello"

    play(scenario)


def test_a_delay_holds_for_all_that_passes():
    async def scenario(link):
        reader, writer = await _connect(link)
        link.set(LinkFaults(delay_seconds=SHORT_SECONDS))
        began_seconds = asyncio.get_running_loop().time()
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        assert asyncio.get_running_loop().time() - began_seconds >= 2 * SHORT_SECONDS

    play(scenario)


def test_a_reset_is_told_from_an_end_and_new_connections_pass():
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

    play(scenario)


def test_a_closed_link_refuses_and_opens_at_the_same_port():
    async def scenario(link):
        port = link.port
        await link.close()
        with pytest.raises(ConnectionRefusedError):
            await _connect(link)
        await link.open()
        assert link.port == port
        await _connect(link)

    play(scenario)
