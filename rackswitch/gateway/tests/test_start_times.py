"""The log line about the parts of a start."""

import asyncio

from rackswitch.gateway.jobs import job_manager
from rackswitch.gateway.start_times import StartPart, StartTimes
from rackswitch.gateway.tests.path import run_scenario, wait_for
from rackswitch.telemetry.events import StartTimed

CLAIM_TIMEOUT_SECONDS = 5.0


def test_states_the_first_time_of_each_part():
    # Guards against a part that a later session or job overwrites.
    times = StartTimes(process_started_seconds=100.0)
    times.record(StartPart.LISTENING, 100.25)
    times.record(StartPart.SESSION, 101.5)
    times.record(StartPart.SESSION, 140.0)
    assert times.event() == StartTimed(listening_seconds=0.25, session_seconds=1.5)


def test_every_part_is_a_field_of_the_event():
    # Guards against a new part whose record would fail the start.
    assert [part.value for part in StartPart] == list(StartTimed.__struct_fields__)


def test_waits_no_longer_than_the_timeout_or_the_last_part():
    # Guards against a line that is never written by a daemon without jobs.
    async def scenario():
        times = StartTimes(0.0)
        await times.wait_for_all(0.0)
        for part in StartPart:
            times.record(part, 1.0)
        async with asyncio.timeout(5.0):
            await times.wait_for_all(60.0)

    asyncio.run(scenario())


def test_claims_a_job_without_an_owner_right_after_the_first_read(monkeypatch):
    # Guards against a wait for the next tick, which serves nothing, after a loss of all daemons.
    async def scenario(fleet):
        assert await fleet.submit("d0", "j1", [500]) == 202
        await wait_for(lambda: fleet.engines[0].runs)
        lease_id = fleet.gateways["d0"].session.lease_id
        await fleet.gateways["d0"].crash()
        fleet.store.end_lease(lease_id)
        monkeypatch.setattr(job_manager, "MAX_TICK_SECONDS", 2 * CLAIM_TIMEOUT_SECONDS)
        await fleet.start_gateway("d0")
        await wait_for(lambda: len(fleet.engines[0].runs) == 2, CLAIM_TIMEOUT_SECONDS)

    run_scenario(scenario, daemons=1, engines=1)


def test_a_daemon_with_a_job_reaches_all_parts_of_its_own():
    # Guards against a part that no component records.
    async def scenario(fleet):
        assert await fleet.submit("d0", "j1", [2]) == 202
        await fleet.read_all("d0", "j1")
        owners = [gateway for gateway in fleet.gateways.values() if gateway.jobs.owned]
        event = owners[0].context.start_times.event()
        # The entry point records the other two.
        assert event.first_read_seconds is not None
        assert event.session_seconds is not None
        assert event.first_job_seconds is not None
        assert event.first_item_seconds is not None

    run_scenario(scenario)
