import asyncio

import pytest

from rackswitch.clients.kv import KvEntry
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_claims import CLAIM_REPLY_TIMEOUT_SECONDS
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobNotStored
from rackswitch.gateway.jobs.job_records import OWNERS_PREFIX
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.lease_writes import MAX_LEASE_ATTEMPTS
from rackswitch.gateway.store.session import Session
from rackswitch.gateway.tests.support import NoLoadPoller, make_gateway_context
from rackswitch.jobs import Job
from rackswitch.jobs.orphaned_jobs import RANK_DELAY_SECONDS
from rackswitch.jobs.tests.support import make_job
from rackswitch.standins.kv_store import KvStore


def make_job_manager(name: str, kv: KvStore) -> JobManager:
    context = make_gateway_context(name, kv)
    session = Session(context, lambda: None, lambda: True)
    session.lease.record_grant(0.0, kv.grant(1000.0, 0.0), 1000.0)
    session._own_leases.add(session.lease_id)
    return JobManager(context, session, JobStore(context), runner=None, load_poller=NoLoadPoller())


def owner_entry(kv: KvStore) -> KvEntry:
    return kv.keys[OWNERS_PREFIX + "j"].entry


async def apply_entries(job_manager: JobManager, kv: KvStore) -> None:
    for entry in kv.read("control/", is_prefix=True).entries:
        if entry.key.startswith(OWNERS_PREFIX):
            job_manager.owner_put(entry)
        else:
            job_manager.marker_put(entry)


def test_a_job_whose_creation_was_unanswered_is_adopted():
    async def scenario():
        kv = KvStore()
        job_manager = make_job_manager("a", kv)
        await JobStore(make_gateway_context("a", kv)).create(
            make_job(), job_manager._session.lease_id
        )
        await apply_entries(job_manager, kv)
        await asyncio.sleep(CLAIM_REPLY_TIMEOUT_SECONDS + 0.1)
        assert job_manager.owned["j"].owner_revision == owner_entry(kv).mod_revision

    run_on_virtual_clock(scenario())


def test_a_predecessors_job_that_another_daemon_claimed_is_not_adopted():
    # Guards against a restarted daemon that runs a job because of its predecessor's owner key.
    async def scenario():
        kv = KvStore()
        lease = kv.grant(100.0, 0.0)
        await JobStore(make_gateway_context("a", kv)).create(make_job(), lease)
        job_manager = make_job_manager("a", kv)
        await apply_entries(job_manager, kv)
        kv.end_lease(lease)
        job_manager.owner_deleted(OWNERS_PREFIX + "j")
        successor = JobStore(make_gateway_context("b", kv))
        marker = await successor.load_marker("j")
        await successor.claim("j", marker.mod_revision, kv.grant(100.0, 0.0), 0)
        job_manager.owner_put(owner_entry(kv))
        await asyncio.sleep(CLAIM_REPLY_TIMEOUT_SECONDS + 0.1)
        assert job_manager.owned == {}

    run_on_virtual_clock(scenario())


def test_a_job_that_another_daemon_owns_is_dropped():
    async def scenario():
        kv = KvStore()
        job_manager = make_job_manager("a", kv)
        await job_manager.submit(make_job())
        assert "j" in job_manager.owned
        kv.end_lease(job_manager._session.lease_id)
        successor = JobStore(make_gateway_context("b", kv))
        marker = await successor.load_marker("j")
        await successor.claim("j", marker.mod_revision, kv.grant(100.0, 0.0), 0)
        job_manager.owner_put(owner_entry(kv))
        assert job_manager.owned == {}

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("watch_first", [True, False])
def test_a_former_owner_returns_its_texts_also_after_it_has_seen_the_new_owner(watch_first):
    # Guards against a former owner that drops its texts when its replica shows the new owner.
    async def scenario():
        kv = KvStore()
        job_manager = make_job_manager("a", kv)
        job = make_job()
        await job_manager.submit(job)
        progress = job_manager.owned["j"].ledger.items["i1"]
        progress.pieces, progress.versions = ["x"] * 5, [1]
        before = job_manager.owned["j"].owner_revision
        kv.end_lease(job_manager._session.lease_id)
        successor = JobStore(make_gateway_context("b", kv))
        marker = await successor.load_marker("j")
        claimed = await successor.claim("j", marker.mod_revision, kv.grant(100.0, 0.0), 0)
        if watch_first:
            job_manager.owner_put(owner_entry(kv))
            assert "j" not in job_manager.owned
            await asyncio.sleep(0.1)
        # A request with a claim that is not later than the owner's own is refused.
        assert await job_manager.release_job("j", before) is None
        checkpoint = await job_manager.release_job("j", claimed)
        assert "j" not in job_manager.owned
        assert checkpoint.runs_ended
        assert [(item.item_id, len(item.pieces)) for item in checkpoint.items] == [("i1", 5)]

    run_on_virtual_clock(scenario())


def test_a_claimed_job_survives_a_late_deletion_of_the_former_owners_key():
    # Guards against a second claim after a lagging replica reports the deletion, by which the
    # successor would drop its own job.
    async def scenario():
        kv = KvStore()
        lease = kv.grant(100.0, 0.0)
        await JobStore(make_gateway_context("a", kv)).create(make_job(), lease)
        job_manager = make_job_manager("b", kv)
        await apply_entries(job_manager, kv)
        kv.end_lease(lease)
        await job_manager._claims.claim("j", job_manager.known.jobs["j"].revision)
        claimed = job_manager.owned["j"]
        job_manager.owner_deleted(OWNERS_PREFIX + "j")
        await job_manager._claims.claim("j", job_manager.known.jobs["j"].revision)
        assert job_manager.owned["j"] is claimed
        assert not job_manager._claims._orphans.is_orphan("j")

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("watch_first", [True, False])
def test_a_running_job_continues_after_an_unanswered_claim(watch_first):
    # Guards against a daemon that drops a job because of its own owner key, written by a claim
    # that took effect without a reply.
    async def scenario():
        kv = KvStore()
        job_manager = make_job_manager("a", kv)
        await job_manager.submit(make_job())
        await apply_entries(job_manager, kv)
        kv.end_lease(job_manager._session.lease_id)
        job_manager.owner_deleted(OWNERS_PREFIX + "j")
        job_manager._session.lease.record_grant(0.0, kv.grant(1000.0, 0.0), 1000.0)
        job_manager._session._own_leases.add(job_manager._session.lease_id)
        marker = await job_manager._store.load_marker("j")
        unanswered = JobStore(make_gateway_context("a", kv))
        await unanswered.claim("j", marker.mod_revision, job_manager._session.lease_id, 0)
        if watch_first:
            job_manager.owner_put(owner_entry(kv))
            # The reply's timeout has passed.
            await asyncio.sleep(CLAIM_REPLY_TIMEOUT_SECONDS + 0.1)
        await job_manager._claims.claim("j", marker.mod_revision)
        if not watch_first:
            job_manager.owner_put(owner_entry(kv))
        await asyncio.sleep(CLAIM_REPLY_TIMEOUT_SECONDS + 2.0)
        assert job_manager.owned["j"].owner_revision == owner_entry(kv).mod_revision
        assert not job_manager._claims._orphans.is_orphan("j")

    run_on_virtual_clock(scenario())


def test_an_owner_claims_first_if_its_key_is_deleted_before_its_renewal_fails():
    # After a suspension the watch may report the lost lease before a renewal fails. Guards against
    # a refused claim on the old lease, after which another daemon would claim the job first.
    async def scenario():
        kv = KvStore()
        job_manager = make_job_manager("a", kv)
        await job_manager.submit(make_job())
        await apply_entries(job_manager, kv)
        before = job_manager.owned["j"].owner_revision
        kv.end_lease(job_manager._session.lease_id)
        job_manager.owner_deleted(OWNERS_PREFIX + "j")
        job_manager._claims.claim_due()
        await asyncio.sleep(RANK_DELAY_SECONDS / 2)
        assert owner_entry(kv).mod_revision == job_manager.owned["j"].owner_revision > before
        assert job_manager._session.is_valid()
        assert kv.keys[OWNERS_PREFIX + "j"].lease_id == job_manager._session.lease_id

    run_on_virtual_clock(scenario())


def test_a_job_is_stored_although_the_lease_has_expired_unnoticed():
    async def scenario():
        kv = KvStore()
        job_manager = make_job_manager("a", kv)
        kv.end_lease(job_manager._session.lease_id)
        assert isinstance(await job_manager.submit(make_job()), JobCreated)
        assert owner_entry(kv).mod_revision == job_manager.owned["j"].owner_revision
        assert kv.keys[OWNERS_PREFIX + "j"].lease_id == job_manager._session.lease_id

    run_on_virtual_clock(scenario())


class UnreadableStore(JobStore):
    """Loses the service while it reads a job's items."""

    async def load_items(self, job_id):
        self._context.kv.faults.down = True
        return await super().load_items(job_id)


@pytest.mark.parametrize("is_adopted", [False, True])
def test_a_claimed_job_that_cannot_be_read_is_released_once_the_service_answers(is_adopted):
    # Guards against a job that stays claimed by a living daemon that does not run it, and against
    # the release of a job that this daemon has come to run meanwhile.
    async def scenario():
        kv = KvStore()
        lease = kv.grant(1000.0, 0.0)
        await JobStore(make_gateway_context("b", kv)).create(make_job(), lease)
        kv.end_lease(lease)
        job_manager = make_job_manager("a", kv)
        await apply_entries(job_manager, kv)
        store = UnreadableStore(job_manager._context)
        job_manager._claims._store = store
        marker = await store.load_marker("j")
        await job_manager._claims.claim("j", marker.mod_revision)
        assert OWNERS_PREFIX + "j" in kv.keys
        assert job_manager.owned == {}
        await asyncio.sleep(5.0)
        if is_adopted:
            job_manager._jobs.add(make_job(), owner_entry(kv).mod_revision, [])
        job_manager._context.kv.faults.down = False
        await asyncio.sleep(2.0)
        assert (OWNERS_PREFIX + "j" in kv.keys) is is_adopted

    run_on_virtual_clock(scenario())


class RefusingStore(JobStore):
    """Refuses every lease as expired."""

    def __init__(self, context: GatewayContext):
        super().__init__(context)
        self.asked: list[int] = []

    async def create(self, job: Job, lease_id: int) -> JobNotStored:
        self.asked.append(lease_id)
        return JobNotStored("refused", effect_unknown=False, lease_gone=True)


def test_a_service_that_refuses_each_lease_is_called_a_limited_number_of_times():
    async def scenario():
        job_manager = make_job_manager("a", KvStore())
        store = job_manager._store = RefusingStore(job_manager._context)
        assert isinstance(await job_manager.submit(make_job()), JobNotStored)
        assert len(store.asked) == len(set(store.asked)) == MAX_LEASE_ATTEMPTS
        assert job_manager.owned == {}

    run_on_virtual_clock(scenario())
