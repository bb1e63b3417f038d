"""Watches of a slow service must not fail, and a lost watch must be noticed in time."""

import asyncio
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from rackswitch.clients.kv import KvUnavailable
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.platform.store import PlatformKvClient
from rackswitch.platform.store_messages import StoreAnswer


class SlowTransport:
    """Answers each call without changes, after its wait time and a delay."""

    def __init__(self, delay_seconds: float):
        self.delay_seconds = delay_seconds

    async def send(self, call):
        query = parse_qs(urlsplit(call.target).query)
        wait_seconds = int(query.get("wait_ms", ["0"])[0]) / 1000
        try:
            async with asyncio.timeout(call.timeout_seconds):
                await asyncio.sleep(wait_seconds + self.delay_seconds)
        except TimeoutError:
            return KvUnavailable("TimeoutError", effect_unknown=True)
        return StoreAnswer(200, msgspec.json.encode({"events": [], "store_revision": 7}))


async def watch_three_answers(
    delay_seconds: float, silent_after_answers: int | None = None
) -> list[object]:
    """Return the first three answers of a watch."""
    transport = SlowTransport(delay_seconds)
    answers = []
    async for news in PlatformKvClient(transport).watch("op/", 5):
        answers.append(news)
        if len(answers) == silent_after_answers:
            transport.delay_seconds = 1000.0
        if len(answers) == 3:
            break
    return answers


@pytest.mark.parametrize("delay_seconds", [0.004, 0.12, 0.24, 0.5])
def test_a_watch_of_a_slow_service_does_not_fail(delay_seconds):
    assert not any(
        isinstance(answer, KvUnavailable)
        for answer in run_on_virtual_clock(watch_three_answers(delay_seconds))
    )


def test_a_lost_watch_of_a_fast_service_fails_soon():
    async def scenario():
        started_seconds = asyncio.get_running_loop().time()
        answers = await watch_three_answers(0.004, silent_after_answers=2)
        return answers, asyncio.get_running_loop().time() - started_seconds

    answers, elapsed_seconds = run_on_virtual_clock(scenario())
    assert isinstance(answers[-1], KvUnavailable)
    assert elapsed_seconds < 2 * 0.7 + 0.3


def test_granting_a_lease_is_repeatable():
    # An unused lease expires, so the call may be repeated through a peer.
    calls = []

    class RecordingTransport(SlowTransport):
        async def send(self, call):
            calls.append(call)
            return StoreAnswer(200, msgspec.json.encode({"lease": 3, "ttl_ms": 2000}))

    granted = run_on_virtual_clock(PlatformKvClient(RecordingTransport(0.0)).grant_lease(2.0))
    assert granted.lease_id == 3
    assert calls[0].repeatable
