"""A role has one holder that can do harm, also when leases lapse under pauses."""

import asyncio
import random

import pytest

from rackswitch.clients.kv import Operation, TxnPart
from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.tests.support import make_context, run_virtual
from rackswitch.membership import MemberState, VmEntry
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore

SEEDS = range(16)
ROLE = "ledger/t"
DAEMONS = 3


async def contend(seed: int, fenced: bool, lapses: bool) -> tuple[list[int], int]:
    """Let daemons hold a role and write in it.

    Returns
    -------
    (list of int, int)
        Fencing numbers in the order in which the service took the writes, and how often
        two daemons believed at once that they may act.
    """
    rng = random.Random(seed)
    store = KvStore()
    faults = KvFaults(lost_request=0.05, lost_answer=0.1, late_effect=0.05)
    keepers = []
    for number in range(DAEMONS):
        context = make_context(f"d{number}", store, rng, faults)
        entries = [VmEntry(f"d{n}", "h", 1, "z", False) for n in range(DAEMONS)]
        context.membership.learn_vms(entries, 0.0)
        keepers.append(RoleManager(context, lambda: [ROLE]))
    taken: list[int] = []
    overlaps = 0

    async def act(keeper: RoleManager) -> None:
        while True:
            await asyncio.sleep(rng.random() * 0.5)
            if not keeper.may_act(ROLE):
                continue
            fencing, fence = keeper.fencing(ROLE), keeper.fence(ROLE)
            # The holder may be paused between its check and the arrival of its write.
            await asyncio.sleep(rng.random() * 4 if rng.random() < 0.2 else 0.0)
            compares = (fence,) if fenced else ()
            part = TxnPart(compares, (Operation("effect", b""),))
            store.expire(asyncio.get_running_loop().time())
            if store.txn([part])[0].succeeded:
                taken.append(fencing)

    async def watch_overlap() -> None:
        nonlocal overlaps
        while True:
            await asyncio.sleep(0.1)
            overlaps += sum(keeper.may_act(ROLE) for keeper in keepers) > 1

    async def trouble() -> None:
        for _ in range(8):
            await asyncio.sleep(rng.random() * 10)
            if lapses:
                for lease_id in list(store.leases):
                    store.end_lease(lease_id)
            faults.down = rng.random() < 0.3
            await asyncio.sleep(rng.random() * 4)
            faults.down = False

    work = [asyncio.create_task(keeper.run()) for keeper in keepers]
    work += [asyncio.create_task(act(keeper)) for keeper in keepers]
    work.append(asyncio.create_task(watch_overlap()))
    await trouble()
    for task in work:
        task.cancel()
    return taken, overlaps


@pytest.mark.parametrize("seed", SEEDS)
def test_writes_are_taken_in_order_of_fencing(seed):
    taken, _ = run_virtual(contend(seed, fenced=True, lapses=True))
    assert taken
    assert taken == sorted(taken)


def test_without_the_fence_an_old_holder_writes():
    runs = [run_virtual(contend(seed, fenced=False, lapses=True))[0] for seed in range(5)]
    assert any(taken != sorted(taken) for taken in runs)


@pytest.mark.parametrize("seed", range(6))
def test_two_never_believe_at_once_while_leases_are_kept(seed):
    _, overlaps = run_virtual(contend(seed, fenced=True, lapses=False))
    assert overlaps == 0


def test_leaving_daemon_gives_its_roles_back():
    async def leave():
        store = KvStore()
        context = make_context("d0", store, random.Random(1))
        keeper = RoleManager(context, lambda: [ROLE])
        await keeper.tend()
        held = keeper.may_act(ROLE)
        context.stopping = True
        context.membership.leave()
        await keeper.tend()
        return held, keeper.may_act(ROLE), store.read("roles/" + ROLE).entries

    held, still, entries = run_virtual(leave())
    assert held
    assert not still
    assert entries == ()
    assert MemberState.LEAVING > MemberState.ALIVE


def test_a_restarted_daemon_need_not_wait_for_its_predecessors_lease():
    async def restart():
        store = KvStore()
        before = RoleManager(make_context("d0", store, random.Random(1)), lambda: [ROLE])
        other = RoleManager(make_context("d1", store, random.Random(2)), lambda: [ROLE + "2"])
        await before.tend()
        await other.tend()
        after = RoleManager(make_context("d0", store, random.Random(3)), lambda: [ROLE])
        for entry in store.read("roles/", is_prefix=True).entries:
            await after.end_predecessors_lease(entry.value)
        await after.tend()
        return after.may_act(ROLE), store.read("roles/" + ROLE + "2").entries

    acts, others = run_virtual(restart())
    assert acts
    assert others
