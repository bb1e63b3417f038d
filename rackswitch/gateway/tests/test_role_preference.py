"""Which daemon takes a vacant role after a restart."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.tests.support import make_context, run_on_virtual_clock
from rackswitch.gateway.role_preference import RolePreference, RoleTurns
from rackswitch.leases import reserved_until_seconds
from rackswitch.leases.core import ACQUIRE_SECONDS, PREFERRED_DAEMON_WAIT_SECONDS
from rackswitch.membership import VmEntry
from rackswitch.standins.kv_store import KvStore

ROLE = "versions/engines"
TURN_ENDS_SECONDS = 3.5
DAEMONS = ("d0", "d1", "d2")
LAST_HOLDER = "d2"


def make_role_manager(daemon: str, store: KvStore) -> RoleManager:
    context = make_context(daemon, store, random.Random(daemon))
    entries = [VmEntry(name, "h", 1, "z", False) for name in DAEMONS]
    context.membership.update_from_vm_list(entries, 0.0)
    reserved = reserved_until_seconds(TURN_ENDS_SECONDS, float("-inf"))
    return RoleManager(
        context,
        lambda: [ROLE],
        lambda role: LAST_HOLDER if context.now_seconds() < reserved else None,
        reserved_until_seconds=lambda role: reserved,
    )


async def run_restart(returns_at_seconds: float) -> tuple[str, float]:
    """Return who gets a vacant role after a restart of the fleet, and when."""
    store = KvStore()
    managers = {daemon: make_role_manager(daemon, store) for daemon in DAEMONS}
    starts = {daemon: 0.0 for daemon in DAEMONS} | {LAST_HOLDER: returns_at_seconds}

    async def run(daemon: str) -> None:
        await asyncio.sleep(starts[daemon])
        await managers[daemon].run()

    tasks = [asyncio.create_task(run(daemon)) for daemon in DAEMONS]
    while not any(manager.may_act(ROLE) for manager in managers.values()):
        await asyncio.sleep(0.01)
    acquired_at_seconds = asyncio.get_running_loop().time()
    for task in tasks:
        task.cancel()
    (holder,) = (daemon for daemon, manager in managers.items() if manager.may_act(ROLE))
    return holder, acquired_at_seconds


@pytest.mark.parametrize("returns_at_seconds", [0.0, 0.5, 1.5, 2.0, 2.6])
def test_a_last_holder_that_starts_slowly_gets_its_role_again(returns_at_seconds):
    # Guards against another holder, who could act only at the end of the last holder's turn.
    holder, _ = run_on_virtual_clock(run_restart(returns_at_seconds))
    assert holder == LAST_HOLDER


def test_another_daemon_has_the_role_when_the_turn_of_a_gone_holder_ends():
    # Guards against a role that waits for a holder longer than anybody gains by it.
    holder, acquired_at_seconds = run_on_virtual_clock(run_restart(60.0))
    assert holder != LAST_HOLDER
    assert acquired_at_seconds <= TURN_ENDS_SECONDS


@pytest.mark.parametrize(
    ("now_seconds", "live", "started_at_seconds", "expected_holder"),
    [
        (1.0, (), None, LAST_HOLDER),
        (TURN_ENDS_SECONDS, (), None, None),
        (TURN_ENDS_SECONDS, (LAST_HOLDER,), None, LAST_HOLDER),
        (TURN_ENDS_SECONDS, (), TURN_ENDS_SECONDS - 0.1, LAST_HOLDER),
    ],
)
def test_prefers_a_holder_that_is_live_or_may_return_before_its_turn_ends(
    now_seconds, live, started_at_seconds, expected_holder
):
    # Guards against a preference by the time since this daemon's own start.
    context = SimpleNamespace(
        now_seconds=lambda: now_seconds,
        unix_seconds=lambda: 1000.0 + now_seconds,
        process_start=lambda name: started_at_seconds and 1000.0 + started_at_seconds,
        daemon=SimpleNamespace(membership=SimpleNamespace(live=lambda: live)),
    )
    turns = RoleTurns(lambda role: LAST_HOLDER, lambda role: TURN_ENDS_SECONDS)
    assert RolePreference(context, (turns,)).holder(ROLE) == expected_holder


def test_a_role_without_a_last_holder_is_reserved_for_nobody():
    # Guards against a first holder that waits for nothing.
    turns = RoleTurns(lambda role: None, lambda role: TURN_ENDS_SECONDS)
    preference = RolePreference(SimpleNamespace(), (turns,))
    assert preference.reserved_until_seconds(ROLE) == float("-inf")


def test_a_holder_that_has_just_started_has_time_to_acquire_its_role():
    # Guards against daemons that wait for a late holder and take its role as it comes back.
    assert reserved_until_seconds(5.0, 9.0) == 9.0 + PREFERRED_DAEMON_WAIT_SECONDS
    assert reserved_until_seconds(5.0, 2.0) == 5.0 - ACQUIRE_SECONDS
