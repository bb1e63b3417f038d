"""Old jobs are deleted completely by one daemon, also after an interrupted deletion."""

import asyncio
import time

import msgspec

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_cleaner import JobCleaner
from rackswitch.gateway.jobs.job_records import JOBS_PREFIX
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.jobs import JobResult
from rackswitch.jobs.tests.support import make_job
from rackswitch.membership import VmEntry
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore

CLEANING_SECONDS = 60.0


async def make_ended_job(context: GatewayContext, kv: KvStore, age_seconds: float) -> KnownJobs:
    """Store an ended job with two segments; return a daemon's known jobs."""
    store = JobStore(context)
    job = msgspec.structs.replace(make_job(), submitted_at_unix_seconds=time.time() - age_seconds)
    created = await store.create(job, kv.grant(1e9, 0.0))
    for position, item in enumerate(job.items[:2]):
        result = JobResult(item_id=item.item_id, completed=False)
        await store.append(job.job_id, created.owner_revision, position, [result])
    known = KnownJobs()
    marker = known.marker_put(await store.load_marker(job.job_id))
    await store.end(marker)
    known.marker_put(await store.load_marker(job.job_id))
    return known


def set_members(context: GatewayContext, *names: str) -> None:
    entries = [VmEntry(name, "127.0.0.1", 1, "z", leaving=False) for name in names]
    context.daemon.membership.update_from_complete_list(entries, 0.0)


async def clean(context: GatewayContext, known: KnownJobs) -> None:
    cleaner = JobCleaner(context, known, JobStore(context))
    task = asyncio.create_task(cleaner.run())
    await asyncio.sleep(CLEANING_SECONDS)
    task.cancel()


def test_all_entries_of_an_old_job_are_deleted():
    async def scenario():
        kv = KvStore()
        context = make_gateway_context("a", kv)
        known = await make_ended_job(context, kv, 1000.0)
        await clean(context, known)
        assert kv.keys == {}

    run_on_virtual_clock(scenario())


def test_a_job_within_its_retention_time_is_not_deleted():
    async def scenario():
        kv = KvStore()
        context = make_gateway_context("a", kv)
        known = await make_ended_job(context, kv, 100.0)
        before = dict(kv.keys)
        await clean(context, known)
        assert kv.keys == before

    run_on_virtual_clock(scenario())


def test_an_interrupted_deletion_is_completed_later():
    async def scenario():
        kv = KvStore()
        faults = KvFaults()
        context = make_gateway_context("a", kv, faults=faults)
        known = await make_ended_job(context, kv, 1000.0)
        faults.lost_answer = 0.7
        await clean(context, known)
        assert any(key.startswith(JOBS_PREFIX) for key in kv.keys) or kv.keys == {}
        faults.lost_answer = 0.0
        # Stands for a successful renewal of the session.
        context.store_reachability.record_answer(context.now_seconds())
        await clean(context, known)
        assert kv.keys == {}

    run_on_virtual_clock(scenario())


def test_one_daemon_of_a_fleet_deletes_a_job():
    async def scenario():
        kv = KvStore()
        contexts = {name: make_gateway_context(name, kv) for name in ("a", "b", "c")}
        known = await make_ended_job(contexts["a"], kv, 1000.0)
        for context in contexts.values():
            set_members(context, *contexts)
        cleaners = [JobCleaner(c, known, JobStore(c)) for c in contexts.values()]
        assert sum(cleaner._next_job() is not None for cleaner in cleaners) == 1

    run_on_virtual_clock(scenario())
