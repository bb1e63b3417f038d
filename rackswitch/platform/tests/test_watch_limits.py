"""How long calls to the service may take, and which may be made again."""

import asyncio
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from rackswitch.clients.kv import KvUnavailable
from rackswitch.daemon.tests.support import run_virtual
from rackswitch.platform.store import PlatformKvClient
from rackswitch.platform.store_messages import StoreAnswer


class SlowTransport:
    """Answers each call with nothing new, so much later than it would on a calm day."""

    def __init__(self, late_seconds: float):
        self.late_seconds = late_seconds

    async def send(self, call):
        query = parse_qs(urlsplit(call.target).query)
        wait_seconds = int(query.get("wait_ms", ["0"])[0]) / 1000
        try:
            async with asyncio.timeout(call.limit_seconds):
                await asyncio.sleep(wait_seconds + self.late_seconds)
        except TimeoutError:
            return KvUnavailable("TimeoutError", effect_unknown=True)
        return StoreAnswer(200, msgspec.json.encode({"events": [], "store_revision": 7}))


async def rounds(late_seconds: float, silent_after: int | None = None) -> list[object]:
    """Return what the first three questions of a watch bring."""
    transport = SlowTransport(late_seconds)
    brought = []
    async for news in PlatformKvClient(transport).watch("op/", 5):
        brought.append(news)
        if len(brought) == silent_after:
            transport.late_seconds = 1000.0
        if len(brought) == 3:
            break
    return brought


@pytest.mark.parametrize("late_seconds", [0.004, 0.12, 0.24, 0.5])
def test_a_slow_service_is_watched_all_the_same(late_seconds):
    assert not any(isinstance(n, KvUnavailable) for n in run_virtual(rounds(late_seconds)))


def test_a_watch_that_goes_silent_is_noticed_soon_on_a_calm_day():
    async def scenario():
        began_seconds = asyncio.get_running_loop().time()
        brought = await rounds(0.004, silent_after=2)
        return brought, asyncio.get_running_loop().time() - began_seconds

    brought, took_seconds = run_virtual(scenario())
    assert isinstance(brought[-1], KvUnavailable)
    assert took_seconds < 2 * 0.7 + 0.3


def test_a_lease_may_be_asked_for_again():
    # A lease that nobody uses runs out: so a daemon whose path is silent gets one through a peer.
    calls = []

    class Recorder(SlowTransport):
        async def send(self, call):
            calls.append(call)
            return StoreAnswer(200, msgspec.json.encode({"lease": 3, "ttl_ms": 2000}))

    granted = run_virtual(PlatformKvClient(Recorder(0.0)).grant_lease(2.0))
    assert granted.lease_id == 3
    assert calls[0].repeatable
