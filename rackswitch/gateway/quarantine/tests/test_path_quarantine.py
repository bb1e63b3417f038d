"""Requests that end the targets that run them, on the whole path, on loopback.

What users saw: a format check ended each target that began it and came again under a new
identity, at any daemon, 18 times in 34 s. Each time all four targets of the service were down for
3 s, and nearly everything sent to it meanwhile was refused.

The order of events: a daemon sends the request to a target, which ends 0.1 s later; the daemon
repeats it at the next one, as it should, and answers 502 when its attempts are used up; the caller
comes back at another daemon within 0.04 s, or some seconds later, and there all begins anew.

The cause: what a daemon learns from an attempt lives as long as the request's own record of
attempts, filed under an identity that each send has anew. Nothing that lasts, and nothing that
other daemons see, ties the ends of targets to the request under which they ended.

The evidence: with a fingerprint of tenant, host, method, path and body in the log lines, the runs
that broke in every wave of such a request carry the same one, under identities of their own, and
`target ended` lines show that the targets' processes were gone, not only their connections.
"""

import asyncio

import pytest

from rackswitch.gateway.tests.path import check_whole, play, wait_for

ENDING_BODY = b"ends whoever runs it"

MAX_SENDS_AFTERWARDS = 3
"""Users bear so many more runs of a request once it has ended three targets and all had time to
hear of it."""

TIME_TO_HEAR_SECONDS = 1.5
"""Half of the shortest time that users allow for it."""


def ends(targets):
    return sum(len(target.ended_at_seconds) for target in targets)


def runs(targets):
    return sum(run.body == ENDING_BODY for target in targets for run in target.runs)


async def end_three(fleet, targets, path="/look/1"):
    """Send the request, as a caller that comes back does, until three targets have ended."""
    number = 0
    while ends(targets) < 3:
        await wait_for(lambda: all_see_a_target(fleet, targets[0].service))
        daemon = f"d{number % len(fleet.gateways)}"
        await fleet.request(daemon, "POST", path, ENDING_BODY, f"first-{number}")
        number += 1


def all_see_a_target(fleet, service):
    contexts = [gateway.context for gateway in fleet.gateways.values()]
    return all(ctx.directory.usable(service, ctx.now_seconds()) for ctx in contexts)


async def come_back(fleet, targets, times, path="/look/1"):
    """Send the request again and again, each time to targets that are there."""
    answers = []
    for number in range(times):
        await wait_for(lambda: all_see_a_target(fleet, targets[0].service))
        daemon = f"d{number % len(fleet.gateways)}"
        status, headers, _ = await fleet.request(daemon, "POST", path, ENDING_BODY, f"r{number}")
        answers.append((status, headers))
        await asyncio.sleep(0.2)
    return answers


def test_a_request_that_ended_three_targets_is_held_back_at_every_daemon():
    async def scenario(fleet):
        for target in fleet.services:
            target.faults.end_on = ENDING_BODY
        await end_three(fleet, fleet.services)
        await asyncio.sleep(TIME_TO_HEAR_SECONDS)
        before = runs(fleet.services)
        answers = await come_back(fleet, fleet.services, 8)
        assert runs(fleet.services) - before <= MAX_SENDS_AFTERWARDS
        # Held back is said truly and at once, with a time to come back.
        assert all(status in (502, 503) for status, _ in answers)
        status, headers = answers[-1]
        assert status == 503
        assert float(headers["Retry-After"]) > 1.0
        status, _, _ = await fleet.request("d1", "POST", "/look/1", b"another", "healthy")
        assert status == 200

    play(scenario, daemons=3, services=4)


def test_targets_that_come_back_under_their_identities_have_ended_all_the_same():
    async def scenario(fleet):
        for target in fleet.services:
            target.faults.end_on = ENDING_BODY
            target.faults.keeps_identity = True
        await end_three(fleet, fleet.services)
        await asyncio.sleep(TIME_TO_HEAR_SECONDS)
        before = runs(fleet.services)
        await come_back(fleet, fleet.services, 6)
        assert runs(fleet.services) - before <= MAX_SENDS_AFTERWARDS

    play(scenario, daemons=2, services=2)


def test_what_is_held_back_stays_so_when_all_daemons_start_anew():
    async def scenario(fleet):
        for target in fleet.services:
            target.faults.end_on = ENDING_BODY
        await end_three(fleet, fleet.services)
        await asyncio.sleep(TIME_TO_HEAR_SECONDS)
        for gateway in fleet.gateways.values():
            await gateway.crash()
        for name in list(fleet.gateways):
            await fleet.start_gateway(name)
        await wait_for(lambda: all(g.copies.is_complete for g in fleet.gateways.values()))
        before = runs(fleet.services)
        answers = await come_back(fleet, fleet.services, 6)
        # One trial is due, and no daemon takes it for the first one after another start.
        assert runs(fleet.services) - before <= 1
        for gateway in fleet.gateways.values():
            await gateway.crash()
        for name in list(fleet.gateways):
            await fleet.start_gateway(name)
        await wait_for(lambda: all(g.copies.is_complete for g in fleet.gateways.values()))
        answers = await come_back(fleet, fleet.services, 6)
        assert runs(fleet.services) - before <= 1
        assert all(status == 503 for status, _ in answers)

    play(scenario, daemons=2, services=4)


def test_while_the_service_is_away_daemons_tell_each_other_directly():
    async def scenario(fleet):
        for target in fleet.services:
            target.faults.end_on = ENDING_BODY
            target.faults.keeps_identity = True
        fleet.store.faults.down = "silent"
        for number in range(2):
            await fleet.request("d0", "POST", "/look/1", ENDING_BODY, f"first-{number}")
        assert ends(fleet.services) >= 3
        await asyncio.sleep(TIME_TO_HEAR_SECONDS + 0.5)
        before = runs(fleet.services)
        for number in range(6):
            status, _, _ = await fleet.request("d1", "POST", "/look/1", ENDING_BODY, f"r{number}")
            assert status == 503
        assert runs(fleet.services) == before
        status, _, _ = await fleet.request("d1", "POST", "/look/1", b"another", "healthy")
        assert status == 200

    play(scenario, daemons=2, services=4)


def test_an_item_that_ended_three_engines_leaves_the_others_theirs():
    async def scenario(fleet):
        ending = b"77"
        for engine in fleet.engines:
            engine.faults.end_on = ending
        assert await fleet.submit("d0", "j1", [30, 77, 25, 40, 35, 20]) == 202
        await wait_for(lambda: ends(fleet.engines) >= 3)
        await asyncio.sleep(TIME_TO_HEAR_SECONDS)
        before = ends(fleet.engines)
        results = []
        async with asyncio.timeout(12.0):
            while len(results) < 5:
                results += (await fleet.read("d1", "j1", len(results), 500)).results
        await asyncio.sleep(2.0)
        assert ends(fleet.engines) - before <= MAX_SENDS_AFTERWARDS
        check_whole_but(results, [30, 77, 25, 40, 35, 20], 1)

    play(scenario, engines=4)


def check_whole_but(results, pieces, held_back):
    """All items but one are whole; that one is neither listed nor given up before its time."""
    by_id = {result["id"]: result for result in results}
    assert f"j1-{held_back}" not in by_id
    others = [count for number, count in enumerate(pieces) if number != held_back]
    assert len(by_id) == len(others)
    assert all(result["state"] == "completed" for result in results)


@pytest.mark.parametrize("ends_of_others", [1, 2])
def test_a_request_that_was_at_targets_that_ended_is_still_served(ends_of_others):
    """Targets end for other reasons too, with much work on them."""

    async def scenario(fleet):
        pieces = [150] * 10
        assert await fleet.submit("d0", "j1", pieces) == 202
        for number in range(ends_of_others):
            await wait_for(lambda: sum(len(engine.runs) for engine in fleet.engines) >= 10)
            await asyncio.sleep(0.1)
            restarted = fleet.engines[number].end_and_start_again()
            restart = asyncio.create_task(restarted)
            await asyncio.sleep(0.15)
        check_whole(await fleet.read_all("d1", "j1", 20.0), pieces, "j1")
        await restart

    play(scenario, engines=3)
