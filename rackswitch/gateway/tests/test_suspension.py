"""Gateways on VMs that were suspended for several seconds."""

import asyncio

from rackswitch.clocks.tests.support import suspendable_vm
from rackswitch.gateway.tests.path import run_scenario, runs_of, wait_for

SUSPENDED_SECONDS = 7.0

ROLE = "versions/engines"


def test_expired_roles_and_sessions_are_not_held_after_a_suspension():
    async def scenario(fleet):
        gateways = fleet.gateways.values()
        await wait_for(lambda: any(gateway.roles.may_act(ROLE) for gateway in gateways))
        assert await fleet.submit("d0", "j1", [1000]) == 202
        assert fleet.gateways["d0"].session.is_valid()
        machine.suspended_seconds = SUSPENDED_SECONDS
        assert not any(gateway.roles.may_act(ROLE) for gateway in gateways)
        assert not fleet.gateways["d0"].session.is_valid()
        # Both are held again once the key-value service has confirmed them.
        await wait_for(lambda: any(gateway.roles.may_act(ROLE) for gateway in gateways))
        await wait_for(fleet.gateways["d0"].session.is_valid)

    with suspendable_vm() as machine:
        run_scenario(scenario)


def test_a_request_that_expired_during_a_suspension_is_not_sent_again():
    async def scenario(fleet):
        for service in fleet.services:
            service.faults.mute = True
        request_task = asyncio.create_task(fleet.request("d0", "POST", "/look/1", b"b", "r1"))
        await wait_for(lambda: runs_of(fleet.services, "r1") == 1)
        machine.suspended_seconds = SUSPENDED_SECONDS
        status, _, _ = await request_task
        assert status == 504
        assert runs_of(fleet.services, "r1") == 1

    with suspendable_vm() as machine:
        run_scenario(scenario)


def test_connections_idle_during_a_suspension_are_not_reused():
    async def scenario(fleet):
        gateway = fleet.gateways["d0"]
        status, _, _ = await fleet.request("d0", "POST", "/look/1", b"b", "r1")
        assert status == 200
        [[(connection, _)]] = gateway._sessions._pooled_connector._conns.values()
        gateway.check_suspension()
        assert connection.is_connected()
        machine.suspended_seconds = SUSPENDED_SECONDS
        gateway.check_suspension()
        assert not connection.is_connected()
        status, _, _ = await fleet.request("d0", "POST", "/look/1", b"b", "r2")
        assert status == 200

    with suspendable_vm() as machine:
        run_scenario(scenario)
