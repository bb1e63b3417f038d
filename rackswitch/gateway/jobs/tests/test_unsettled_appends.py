"""Reads at an owner whose last append is unconfirmed."""

from unittest.mock import patch

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.tests.test_job_manager import apply_entries, make_job_manager
from rackswitch.gateway.tests.path import run_scenario, wait_for
from rackswitch.jobs import JobResult
from rackswitch.jobs.tests.support import make_job
from rackswitch.standins.kv_store import KvStore


def test_an_owner_serves_a_segment_whose_append_is_unconfirmed():
    async def scenario(fleet):
        append = JobStore.append
        written = []

        async def append_unanswered(store, *segment):
            await append(store, *segment)
            written.append(segment)
            return JobNotStored("no answer", effect_unknown=True)

        with patch.object(JobStore, "append", append_unanswered):
            assert await fleet.submit("d0", "j1", [2]) == 202
            await wait_for(lambda: written)
            page = await fleet.read("d0", "j1", 0)
        assert (page.status, len(page.results)) == (200, 1)

    run_scenario(scenario)


def test_results_of_an_unanswered_claim_count_as_an_unconfirmed_append():
    async def scenario():
        kv = KvStore()
        job_manager = make_job_manager("a", kv)
        await job_manager.submit(make_job())
        await apply_entries(job_manager, kv)
        owned = job_manager.owned["j"]
        item_id, progress = next(iter(owned.ledger.items.items()))
        owned.ledger.record_result(progress, JobResult(item_id=item_id, completed=False))
        claim = JobStore.claim_and_append

        async def claim_unanswered(store, *write):
            await claim(store, *write)
            return JobNotStored("no answer", effect_unknown=True)

        with patch.object(JobStore, "claim_and_append", claim_unanswered):
            kv.end_lease(job_manager._session.lease_id)
            job_manager._session.lease.record_grant(0.0, kv.grant(1000.0, 0.0), 1000.0)
            await job_manager._claims.claim("j", job_manager.known.marker_revision("j"))
        assert owned.append_is_unknown
        assert not owned.ledger.listed

    run_on_virtual_clock(scenario())
