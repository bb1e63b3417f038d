"""The probe of the event loop's delay."""

import asyncio

from rackswitch.clocks.loop_delay import OVERLOAD_DELAY_SECONDS, WINDOW_SAMPLES
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.loop_delay_probe import (
    LOG_INTERVAL_SECONDS,
    PROBE_INTERVAL_SECONDS,
    run_loop_delay_probe,
)
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.standins.kv_store import KvStore
from rackswitch.telemetry import DecisionLog


def test_delay_is_logged_at_an_interval_and_when_overload_begins_and_ends(monkeypatch):
    """Guards against an overload that is not noticed, and a log line for each sample."""
    late_seconds = 0.0
    sleep = asyncio.sleep

    async def late_sleep(seconds: float) -> None:
        await sleep(seconds + late_seconds)

    async def scenario():
        nonlocal late_seconds
        context = make_gateway_context("a", KvStore())
        events = []
        monkeypatch.setattr(DecisionLog, "write", lambda log, event: events.append(event))
        monkeypatch.setattr("rackswitch.gateway.loop_delay_probe.asyncio.sleep", late_sleep)
        probe = asyncio.create_task(run_loop_delay_probe(context))
        await sleep(LOG_INTERVAL_SECONDS + 1.0)
        assert [event.is_overloaded for event in events] == [False]
        late_seconds = 2 * OVERLOAD_DELAY_SECONDS
        window_seconds = (WINDOW_SAMPLES + 2) * (PROBE_INTERVAL_SECONDS + late_seconds)
        await sleep(window_seconds)
        assert [event.is_overloaded for event in events] == [False, True]
        late_seconds = 0.0
        await sleep(window_seconds)
        assert [event.is_overloaded for event in events] == [False, True, False]
        probe.cancel()

    run_on_virtual_clock(scenario())
