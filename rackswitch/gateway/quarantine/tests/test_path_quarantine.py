"""A request that ends each target that runs it is held back by the whole fleet, on loopback."""

import asyncio
import itertools

import pytest

from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for

LETHAL_BODY = b"ends whoever runs it"

MAX_SENDS_AFTER_THIRD_END = 3
"""Maximum number of runs of a request after it has ended three targets and all daemons know it."""

MAX_IDLE_SECONDS = 5.0
"""How long an item may be at no engine while engines have room."""

PROPAGATION_SECONDS = 1.5
"""Time until all daemons know an end."""


def end_count(targets):
    return sum(len(target.ended_at_seconds) for target in targets)


def run_count(targets):
    return sum(run.body == LETHAL_BODY for target in targets for run in target.runs)


async def end_three_targets(fleet, targets, path="/look/1"):
    """Send the request, as a caller that retries does, until three targets have ended."""
    number = 0
    while end_count(targets) < 3:
        await wait_for(lambda: all_list_a_target(fleet, targets[0].service))
        daemon = f"d{number % len(fleet.gateways)}"
        await fleet.request(daemon, "POST", path, LETHAL_BODY, f"first-{number}")
        number += 1


def all_list_a_target(fleet, service):
    contexts = [gateway.context for gateway in fleet.gateways.values()]
    return all(ctx.directory.usable(service, ctx.now_seconds()) for ctx in contexts)


async def resend(fleet, targets, count, path="/look/1"):
    """Send the request repeatedly, each time while targets are listed."""
    answers = []
    for number in range(count):
        await wait_for(lambda: all_list_a_target(fleet, targets[0].service))
        daemon = f"d{number % len(fleet.gateways)}"
        status, headers, _ = await fleet.request(daemon, "POST", path, LETHAL_BODY, f"r{number}")
        answers.append((status, headers))
        await asyncio.sleep(0.2)
    return answers


def test_holds_back_a_request_that_ended_three_targets_at_every_daemon():
    async def scenario(fleet):
        for target in fleet.services:
            target.faults.end_on = LETHAL_BODY
        await end_three_targets(fleet, fleet.services)
        await asyncio.sleep(PROPAGATION_SECONDS)
        count_before = run_count(fleet.services)
        answers = await resend(fleet, fleet.services, 8)
        assert run_count(fleet.services) - count_before <= MAX_SENDS_AFTER_THIRD_END
        # Requests held back are answered with a retry time.
        assert all(status in (502, 503) for status, _ in answers)
        status, headers = answers[-1]
        assert status == 503
        assert float(headers["Retry-After"]) > 1.0
        status, _, _ = await fleet.request("d1", "POST", "/look/1", b"another", "healthy")
        assert status == 200

    run_scenario(scenario, daemons=3, services=4)


def test_counts_ends_of_targets_that_restart_under_the_same_identity():
    async def scenario(fleet):
        for target in fleet.services:
            target.faults.end_on = LETHAL_BODY
            target.faults.keeps_identity = True
        await end_three_targets(fleet, fleet.services)
        await asyncio.sleep(PROPAGATION_SECONDS)
        count_before = run_count(fleet.services)
        await resend(fleet, fleet.services, 6)
        assert run_count(fleet.services) - count_before <= MAX_SENDS_AFTER_THIRD_END

    run_scenario(scenario, daemons=2, services=2)


def test_request_stays_held_back_when_all_daemons_restart():
    async def scenario(fleet):
        for target in fleet.services:
            target.faults.end_on = LETHAL_BODY
        await end_three_targets(fleet, fleet.services)
        await asyncio.sleep(PROPAGATION_SECONDS)
        for gateway in fleet.gateways.values():
            await gateway.crash()
        for name in list(fleet.gateways):
            await fleet.start_gateway(name)
        await wait_for(lambda: all(g.replicas.is_complete for g in fleet.gateways.values()))
        count_before = run_count(fleet.services)
        answers = await resend(fleet, fleet.services, 6)
        # One trial is due, and another restart must not grant it again.
        assert run_count(fleet.services) - count_before <= 1
        for gateway in fleet.gateways.values():
            await gateway.crash()
        for name in list(fleet.gateways):
            await fleet.start_gateway(name)
        await wait_for(lambda: all(g.replicas.is_complete for g in fleet.gateways.values()))
        answers = await resend(fleet, fleet.services, 6)
        assert run_count(fleet.services) - count_before <= 1
        assert all(status == 503 for status, _ in answers)

    run_scenario(scenario, daemons=2, services=4)


def test_daemons_notify_each_other_directly_while_the_store_is_unreachable():
    async def scenario(fleet):
        for target in fleet.services:
            target.faults.end_on = LETHAL_BODY
            target.faults.keeps_identity = True
        fleet.store.faults.down = "silent"
        for number in range(2):
            await fleet.request("d0", "POST", "/look/1", LETHAL_BODY, f"first-{number}")
        assert end_count(fleet.services) >= 3
        await asyncio.sleep(PROPAGATION_SECONDS + 0.5)
        count_before = run_count(fleet.services)
        for number in range(6):
            status, _, _ = await fleet.request("d1", "POST", "/look/1", LETHAL_BODY, f"r{number}")
            assert status == 503
        assert run_count(fleet.services) == count_before
        status, _, _ = await fleet.request("d1", "POST", "/look/1", b"another", "healthy")
        assert status == 200

    run_scenario(scenario, daemons=2, services=4)


def test_an_item_runs_on_as_engines_end_and_is_not_at_all_of_them():
    """Guards against an owed item that is held back, and against one that takes all engines down.

    An item does not end engines by itself, so it runs again however often they ended under it.
    """

    async def scenario(fleet):
        pieces = [30, 77, 25, 40, 35, 20]
        for engine in fleet.engines:
            engine.faults.end_on = b"77"
        assert await fleet.submit("d0", "j1", pieces) == 202
        await wait_for(lambda: end_count(fleet.engines) >= 3)
        await asyncio.sleep(PROPAGATION_SECONDS)
        count_before = end_count(fleet.engines)
        results = []
        async with asyncio.timeout(12.0):
            while len(results) < 5:
                results += (await fleet.read("d1", "j1", len(results), 500)).results
        check_complete_except(results, pieces, 1)
        await asyncio.sleep(2 * MAX_IDLE_SECONDS)
        ends_seconds = sorted(at for engine in fleet.engines for at in engine.ended_at_seconds)
        late_ends_seconds = ends_seconds[count_before:]
        assert len(late_ends_seconds) >= 2
        # At most one engine is down at a time.
        intervals_seconds = [b - a for a, b in itertools.pairwise(late_ends_seconds)]
        assert min(intervals_seconds) > fleet.engines[0].faults.back_after_seconds
        assert max(intervals_seconds) < MAX_IDLE_SECONDS
        for engine in fleet.engines:
            engine.faults.end_on = b""
        check_complete(await fleet.read_all("d1", "j1", MAX_IDLE_SECONDS), pieces, "j1")

    run_scenario(scenario, engines=4)


def check_complete_except(results, pieces, held_number):
    """Check that all items but one are complete and that one has no result yet."""
    by_id = {result["id"]: result for result in results}
    assert f"j1-{held_number}" not in by_id
    expected_counts = [count for number, count in enumerate(pieces) if number != held_number]
    assert len(by_id) == len(expected_counts)
    assert all(result["state"] == "completed" for result in results)


@pytest.mark.parametrize("unrelated_ends", [1, 2])
def test_serves_requests_that_were_present_at_unrelated_ends(unrelated_ends):
    """Requests that ran at a target that ended for another reason are not held back."""

    async def scenario(fleet):
        pieces = [150] * 10
        assert await fleet.submit("d0", "j1", pieces) == 202
        for number in range(unrelated_ends):
            await wait_for(lambda: sum(len(engine.runs) for engine in fleet.engines) >= 10)
            await asyncio.sleep(0.1)
            restart_target = fleet.engines[number].end_and_start_again()
            restart = asyncio.create_task(restart_target)
            await asyncio.sleep(0.15)
        check_complete(await fleet.read_all("d1", "j1", 20.0), pieces, "j1")
        await restart

    run_scenario(scenario, engines=3)


@pytest.mark.parametrize("ends", [2, 3, 4, 6])
def test_an_item_at_ends_of_engines_runs_again_in_time(ends):
    """Guards against an owed item that is held back once its engines are well again."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.faults.end_on = b"77"
        pieces = [30, 77, 25, 40]
        assert await fleet.submit("d0", "j1", pieces) == 202
        await wait_for(lambda: end_count(fleet.engines) >= ends, 20.0)
        for engine in fleet.engines:
            engine.faults.end_on = b""
        check_complete(await fleet.read_all("d1", "j1", MAX_IDLE_SECONDS), pieces, "j1")

    run_scenario(scenario, daemons=3, engines=4)


def test_a_reward_call_at_ends_of_services_is_sent_again_in_time():
    """Guards against a complete text that is not listed as its reward call is held back."""

    async def scenario(fleet):
        for service in fleet.services:
            service.faults.end_on = b"score"
        pieces = [5]
        assert await fleet.submit("d0", "j1", pieces) == 202
        await wait_for(lambda: end_count(fleet.services) >= 4, 20.0)
        for service in fleet.services:
            service.faults.end_on = b""
        check_complete(await fleet.read_all("d1", "j1", MAX_IDLE_SECONDS), pieces, "j1")

    run_scenario(scenario, services=3)
