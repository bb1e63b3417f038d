"""Gateways on machines that were suspended for seconds."""

import asyncio

from rackswitch.clocks.tests.support import suspendable_machine
from rackswitch.gateway.tests.path import play, runs_of, wait_for

SUSPENDED_SECONDS = 7.0

ROLE = "versions/engines"


def test_a_daemon_that_wakes_holds_no_role_or_session_that_ran_out_meanwhile():
    async def scenario(fleet):
        gateways = fleet.gateways.values()
        await wait_for(lambda: any(gateway.roles.may_act(ROLE) for gateway in gateways))
        assert await fleet.submit("d0", "j1", [1000]) == 202
        assert fleet.gateways["d0"].session.is_sure()
        machine.suspended_seconds = SUSPENDED_SECONDS
        assert not any(gateway.roles.may_act(ROLE) for gateway in gateways)
        assert not fleet.gateways["d0"].session.is_sure()
        # And goes on as soon as the service has confirmed both.
        await wait_for(lambda: any(gateway.roles.may_act(ROLE) for gateway in gateways))
        await wait_for(fleet.gateways["d0"].session.is_sure)

    with suspendable_machine() as machine:
        play(scenario)


def test_a_request_whose_time_ran_out_meanwhile_is_not_sent_on():
    async def scenario(fleet):
        for service in fleet.services:
            service.faults.mute = True
        asking = asyncio.create_task(fleet.request("d0", "POST", "/look/1", b"b", "r1"))
        await wait_for(lambda: runs_of(fleet.services, "r1") == 1)
        machine.suspended_seconds = SUSPENDED_SECONDS
        status, _, _ = await asking
        assert status == 504
        assert runs_of(fleet.services, "r1") == 1

    with suspendable_machine() as machine:
        play(scenario)


def test_connections_that_rested_meanwhile_are_not_used_again():
    async def scenario(fleet):
        gateway = fleet.gateways["d0"]
        status, _, _ = await fleet.request("d0", "POST", "/look/1", b"b", "r1")
        assert status == 200
        [[(kept, _)]] = gateway._sessions._kept_connector._conns.values()
        gateway.look_at_clocks()
        assert kept.is_connected()
        machine.suspended_seconds = SUSPENDED_SECONDS
        gateway.look_at_clocks()
        assert not kept.is_connected()
        status, _, _ = await fleet.request("d0", "POST", "/look/1", b"b", "r2")
        assert status == 200

    with suspendable_machine() as machine:
        play(scenario)
