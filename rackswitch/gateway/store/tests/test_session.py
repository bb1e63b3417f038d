"""The entry among the members, and the lease that jobs are owned under, on a clock that jumps."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.store.member_entries import MEMBERS_PREFIX, decode_member
from rackswitch.gateway.store.presence import LEASE_TTL_SECONDS, Presence
from rackswitch.gateway.store.session import IDLE_HOLD_SECONDS, Session
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore

KEY = MEMBERS_PREFIX + "a"


def members_read_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


def read_member_entry(kv: KvStore):
    entries = kv.read(KEY).entries
    return decode_member(entries[0].value) if entries else None


async def run_presence(kv: KvStore, seconds: float = 0.5) -> Presence:
    """Let a process of the daemon live for some time after it has read who is there."""
    context = make_gateway_context("a", kv)
    previous = read_member_entry(kv)
    if previous is not None:
        context.member_entries["a"] = previous
    presence = Presence(context, 7, members_read_event())
    task = asyncio.create_task(presence.run())
    await asyncio.sleep(seconds)
    task.cancel()
    return presence


def test_the_next_process_goes_on_with_the_lease_of_the_one_before():
    async def scenario():
        kv = KvStore()
        first = await run_presence(kv)
        second = await run_presence(kv)
        assert second.lease.lease_id == first.lease.lease_id
        started = read_member_entry(kv).started_at_unix_seconds
        assert started == second._context.process_started_unix_seconds
        # A write and a renewal, where a new lease would take two writes.
        assert second._context.kv.calls == 2

    run_virtual(scenario())


def test_an_entry_that_ran_out_is_made_anew():
    async def scenario():
        kv = KvStore()
        first = await run_presence(kv)
        lease_id = first.lease.lease_id
        kv.end_lease(lease_id)
        second = await run_presence(kv)
        assert second.lease.lease_id not in (None, lease_id)
        assert read_member_entry(kv).lease_id == second.lease.lease_id

    run_virtual(scenario())


def test_an_entry_outlasts_a_cut_that_is_shorter_than_its_life_and_costs_few_renewals():
    async def scenario():
        kv = KvStore()
        presence = await run_presence(kv, 60.0)
        assert presence._context.kv.calls <= 2 + 60.0 / (LEASE_TTL_SECONDS / 3) + 1
        await asyncio.sleep(LEASE_TTL_SECONDS / 2)
        kv.expire(asyncio.get_running_loop().time())
        assert read_member_entry(kv) is not None
        await asyncio.sleep(LEASE_TTL_SECONDS)
        kv.expire(asyncio.get_running_loop().time())
        assert read_member_entry(kv) is None

    run_virtual(scenario())


def test_a_daemon_that_owns_nothing_has_no_lease_for_it():
    async def scenario():
        kv = KvStore()
        context = make_gateway_context("a", kv)
        owned_jobs = []
        session = Session(context, lambda: None, lambda: bool(owned_jobs))
        task = asyncio.create_task(session.run())
        await asyncio.sleep(5.0)
        assert context.kv.calls == 0
        lease_id = await session.hold()
        assert session.is_sure()
        assert await session.hold() == lease_id
        owned_jobs.append("job")
        await asyncio.sleep(IDLE_HOLD_SECONDS * 2)
        assert session.lease_id == lease_id
        owned_jobs.clear()
        await asyncio.sleep(IDLE_HOLD_SECONDS)
        assert session.lease_id is None
        assert not session.is_sure()
        calls = context.kv.calls
        await asyncio.sleep(IDLE_HOLD_SECONDS)
        assert context.kv.calls == calls
        task.cancel()

    run_virtual(scenario())


def test_jobs_taken_at_the_same_time_share_one_lease():
    async def scenario():
        kv = KvStore()
        session = Session(make_gateway_context("a", kv), lambda: None, lambda: True)
        leases = await asyncio.gather(*(session.hold() for _ in range(5)))
        assert len(set(leases)) == 1
        assert len(kv.leases) == 1

    run_virtual(scenario())


@pytest.mark.parametrize("own", [True, False])
def test_only_a_predecessors_lease_is_ended(own):
    async def scenario():
        kv = KvStore()
        session = Session(make_gateway_context("a", kv), lambda: None, lambda: True)
        lease_id = await session.hold() if own else kv.grant(100.0, 0.0)
        await session.end_predecessors(lease_id)
        await session.end_predecessors(lease_id)
        assert (lease_id in kv.leases) is own
        assert session._context.kv.calls == 1

    run_virtual(scenario())


def test_without_the_service_there_is_no_lease_and_a_later_try_brings_one():
    async def scenario():
        faults = KvFaults(down=True)
        context = make_gateway_context("a", KvStore(), faults=faults)
        session = Session(context, lambda: None, lambda: True)
        assert await session.hold() is None
        assert context.contact.is_away
        faults.down = False
        assert await session.hold() is not None

    run_virtual(scenario())


def test_a_lease_that_a_write_found_over_is_given_up_once():
    async def scenario():
        kv = KvStore()
        lost_leases = []
        session = Session(
            make_gateway_context("a", kv), lambda: lost_leases.append(1), lambda: True
        )
        first = await session.hold()
        kv.end_lease(first)
        session.over(first)
        assert session.lease_id is None
        second = await session.hold()
        assert second not in (None, first)
        # Another write that was on its way under the first one.
        session.over(first)
        assert session.lease_id == second
        assert session.is_sure()
        assert len(lost_leases) == 1

    run_virtual(scenario())


@pytest.mark.parametrize("is_renewed", [True, False])
def test_a_renewals_answer_changes_nothing_of_a_lease_taken_meanwhile(is_renewed):
    async def scenario():
        kv = KvStore()
        context = make_gateway_context("a", kv)
        lost_leases = []
        session = Session(context, lambda: lost_leases.append(1), lambda: True)
        first = await session.hold()
        renewal_answer = asyncio.get_running_loop().create_future()
        renewed_leases = []

        async def keep_lease(lease_id):
            renewed_leases.append(lease_id)
            return await renewal_answer

        context.kv.keep_lease = keep_lease
        task = asyncio.create_task(session.run())
        while not renewed_leases:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        session.over(first)
        second = await session.hold()
        sure_until_seconds = session.lease.sure_until_seconds
        renewal_answer.set_result(is_renewed)
        await asyncio.sleep(0.01)
        assert renewed_leases == [first]
        assert session.lease_id == second != first
        assert session.lease.sure_until_seconds == sure_until_seconds
        assert len(lost_leases) == 1
        task.cancel()

    run_virtual(scenario())
