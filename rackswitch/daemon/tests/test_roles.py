"""Guards against two daemons acting in one role, also when leases end during pauses."""

import asyncio
import random

import pytest

from rackswitch.clients.kv import Operation, TxnPart
from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.tests.support import make_context, run_on_virtual_clock
from rackswitch.membership import MemberState, VmEntry
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore

SEEDS = range(16)
ROLE = "ledger/t"
DAEMONS = 3


async def run_contending_daemons(
    seed: int, fenced: bool, end_leases: bool
) -> tuple[list[int], int]:
    """Let daemons compete for a role and write under it.

    Returns
    -------
    (list of int, int)
        Fencing numbers in the order in which the service accepted the writes, and how often
        two daemons considered themselves the holder at the same time.
    """
    rng = random.Random(seed)
    store = KvStore()
    faults = KvFaults(lost_request=0.05, lost_answer=0.1, late_effect=0.05)
    role_managers = []
    for number in range(DAEMONS):
        context = make_context(f"d{number}", store, rng, faults)
        entries = [VmEntry(f"d{n}", "h", 1, "z", False) for n in range(DAEMONS)]
        context.membership.update_from_vm_list(entries, 0.0)
        role_managers.append(RoleManager(context, lambda: [ROLE]))
    accepted_fencings: list[int] = []
    overlaps = 0

    async def write_as_holder(role_manager: RoleManager) -> None:
        while True:
            await asyncio.sleep(rng.random() * 0.5)
            if not role_manager.may_act(ROLE):
                continue
            fencing, fence = role_manager.fencing(ROLE), role_manager.fence(ROLE)
            # The holder may pause between its check and its write.
            await asyncio.sleep(rng.random() * 4 if rng.random() < 0.2 else 0.0)
            compares = (fence,) if fenced else ()
            part = TxnPart(compares, (Operation("effect", b""),))
            store.expire(asyncio.get_running_loop().time())
            if store.txn([part])[0].succeeded:
                accepted_fencings.append(fencing)

    async def count_overlaps() -> None:
        nonlocal overlaps
        while True:
            await asyncio.sleep(0.1)
            overlaps += sum(role_manager.may_act(ROLE) for role_manager in role_managers) > 1

    async def inject_faults() -> None:
        for _ in range(8):
            await asyncio.sleep(rng.random() * 10)
            if end_leases:
                for lease_id in list(store.leases):
                    store.end_lease(lease_id)
            faults.down = rng.random() < 0.3
            await asyncio.sleep(rng.random() * 4)
            faults.down = False

    work = [asyncio.create_task(role_manager.run()) for role_manager in role_managers]
    work += [asyncio.create_task(write_as_holder(role_manager)) for role_manager in role_managers]
    work.append(asyncio.create_task(count_overlaps()))
    await inject_faults()
    for task in work:
        task.cancel()
    return accepted_fencings, overlaps


@pytest.mark.parametrize("seed", SEEDS)
def test_writes_are_accepted_in_fencing_order(seed):
    accepted_fencings, _ = run_on_virtual_clock(
        run_contending_daemons(seed, fenced=True, end_leases=True)
    )
    assert accepted_fencings
    assert accepted_fencings == sorted(accepted_fencings)


def test_unfenced_writes_of_a_former_holder_are_accepted():
    runs = [
        run_on_virtual_clock(run_contending_daemons(seed, fenced=False, end_leases=True))[0]
        for seed in range(5)
    ]
    assert any(accepted_fencings != sorted(accepted_fencings) for accepted_fencings in runs)


@pytest.mark.parametrize("seed", range(6))
def test_never_two_holders_while_leases_last(seed):
    _, overlaps = run_on_virtual_clock(run_contending_daemons(seed, fenced=True, end_leases=False))
    assert overlaps == 0


def test_stopping_daemon_releases_its_roles():
    async def leave():
        store = KvStore()
        context = make_context("d0", store, random.Random(1))
        role_manager = RoleManager(context, lambda: [ROLE])
        await role_manager.update_roles()
        held = role_manager.may_act(ROLE)
        context.stopping = True
        context.membership.leave()
        await role_manager.update_roles()
        return held, role_manager.may_act(ROLE), store.read("roles/" + ROLE).entries

    held, held_after, entries = run_on_virtual_clock(leave())
    assert held
    assert not held_after
    assert entries == ()
    assert MemberState.LEAVING > MemberState.ALIVE


def test_restarted_daemon_revokes_its_predecessors_lease():
    async def restart():
        store = KvStore()
        predecessor = RoleManager(make_context("d0", store, random.Random(1)), lambda: [ROLE])
        other_daemon = RoleManager(
            make_context("d1", store, random.Random(2)), lambda: [ROLE + "2"]
        )
        await predecessor.update_roles()
        await other_daemon.update_roles()
        restarted = RoleManager(make_context("d0", store, random.Random(3)), lambda: [ROLE])
        for entry in store.read("roles/", is_prefix=True).entries:
            await restarted.end_predecessors_lease(entry.value)
        await restarted.update_roles()
        return restarted.may_act(ROLE), store.read("roles/" + ROLE + "2").entries

    is_holder, other_entries = run_on_virtual_clock(restart())
    assert is_holder
    assert other_entries
