"""The membership entry and the lease of a daemon's jobs, on a virtual clock."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
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
    """Run a process of the daemon for some time, with the members already read."""
    context = make_gateway_context("a", kv)
    previous = read_member_entry(kv)
    if previous is not None:
        context.member_entries["a"] = previous
    presence = Presence(context, 7, members_read_event())
    task = asyncio.create_task(presence.run())
    await asyncio.sleep(seconds)
    task.cancel()
    return presence


def test_a_restarted_daemon_reuses_the_lease_of_the_previous_process():
    async def scenario():
        kv = KvStore()
        first_presence = await run_presence(kv)
        second_presence = await run_presence(kv)
        assert second_presence.lease.lease_id == first_presence.lease.lease_id
        started = read_member_entry(kv).started_at_unix_seconds
        assert started == second_presence._context.process_started_unix_seconds
        # One renewal and one write.
        assert second_presence._context.kv.calls == 2

    run_on_virtual_clock(scenario())


def test_an_expired_entry_is_recreated_under_a_new_lease():
    async def scenario():
        kv = KvStore()
        first_presence = await run_presence(kv)
        lease_id = first_presence.lease.lease_id
        kv.end_lease(lease_id)
        second_presence = await run_presence(kv)
        assert second_presence.lease.lease_id not in (None, lease_id)
        assert read_member_entry(kv).lease_id == second_presence.lease.lease_id

    run_on_virtual_clock(scenario())


def test_an_entry_outlives_an_outage_shorter_than_its_ttl_with_few_renewals():
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

    run_on_virtual_clock(scenario())


def test_a_daemon_holds_a_lease_only_while_it_owns_jobs():
    async def scenario():
        kv = KvStore()
        context = make_gateway_context("a", kv)
        owned_jobs = []
        session = Session(context, lambda: None, lambda: bool(owned_jobs))
        task = asyncio.create_task(session.run())
        await asyncio.sleep(5.0)
        assert context.kv.calls == 0
        lease_id = await session.acquire_lease()
        assert session.is_valid()
        assert await session.acquire_lease() == lease_id
        owned_jobs.append("job")
        await asyncio.sleep(IDLE_HOLD_SECONDS * 2)
        assert session.lease_id == lease_id
        owned_jobs.clear()
        await asyncio.sleep(IDLE_HOLD_SECONDS)
        assert session.lease_id is None
        assert not session.is_valid()
        calls = context.kv.calls
        await asyncio.sleep(IDLE_HOLD_SECONDS)
        assert context.kv.calls == calls
        task.cancel()

    run_on_virtual_clock(scenario())


def test_jobs_claimed_concurrently_share_one_lease():
    async def scenario():
        kv = KvStore()
        session = Session(make_gateway_context("a", kv), lambda: None, lambda: True)
        leases = await asyncio.gather(*(session.acquire_lease() for _ in range(5)))
        assert len(set(leases)) == 1
        assert len(kv.leases) == 1

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("is_own", [True, False])
def test_only_the_lease_of_an_earlier_process_is_revoked(is_own):
    async def scenario():
        kv = KvStore()
        session = Session(make_gateway_context("a", kv), lambda: None, lambda: True)
        lease_id = await session.acquire_lease() if is_own else kv.grant(100.0, 0.0)
        await session.revoke_predecessor_lease(lease_id)
        await session.revoke_predecessor_lease(lease_id)
        assert (lease_id in kv.leases) is is_own
        assert session._context.kv.calls == 1

    run_on_virtual_clock(scenario())


def test_a_lease_is_acquired_once_the_service_is_reachable_again():
    async def scenario():
        faults = KvFaults(down=True)
        context = make_gateway_context("a", KvStore(), faults=faults)
        session = Session(context, lambda: None, lambda: True)
        assert await session.acquire_lease() is None
        assert context.store_reachability.is_unreachable
        faults.down = False
        assert await session.acquire_lease() is not None

    run_on_virtual_clock(scenario())


def test_a_lease_reported_lost_by_a_write_is_dropped_once():
    async def scenario():
        kv = KvStore()
        lost_leases = []
        session = Session(
            make_gateway_context("a", kv), lambda: lost_leases.append(1), lambda: True
        )
        first_lease = await session.acquire_lease()
        kv.end_lease(first_lease)
        session.record_lease_lost(first_lease)
        assert session.lease_id is None
        second_lease = await session.acquire_lease()
        assert second_lease not in (None, first_lease)
        # Another write under the first lease reports the loss late.
        session.record_lease_lost(first_lease)
        assert session.lease_id == second_lease
        assert session.is_valid()
        assert len(lost_leases) == 1

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("is_renewed", [True, False])
def test_a_late_renewal_answer_does_not_affect_a_newer_lease(is_renewed):
    async def scenario():
        kv = KvStore()
        context = make_gateway_context("a", kv)
        lost_leases = []
        session = Session(context, lambda: lost_leases.append(1), lambda: True)
        first_lease = await session.acquire_lease()
        renewal_answer = asyncio.get_running_loop().create_future()
        renewed_leases = []

        async def renew_lease(lease_id):
            renewed_leases.append(lease_id)
            return await renewal_answer

        context.kv.renew_lease = renew_lease
        task = asyncio.create_task(session.run())
        while not renewed_leases:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        session.record_lease_lost(first_lease)
        second_lease = await session.acquire_lease()
        sure_until_seconds = session.lease.valid_until_seconds
        renewal_answer.set_result(is_renewed)
        await asyncio.sleep(0.01)
        assert renewed_leases == [first_lease]
        assert session.lease_id == second_lease != first_lease
        assert session.lease.valid_until_seconds == sure_until_seconds
        assert len(lost_leases) == 1
        task.cancel()

    run_on_virtual_clock(scenario())
