"""A new owner resumes its predecessor's texts only once no other daemon can run them."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.jobs.job_checkpoints import PREDECESSOR_END_TIMEOUT_SECONDS, JobCheckpoints
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.jobs.owned_job import new_owned_job
from rackswitch.gateway.tests.support import make_gateway_context, make_member
from rackswitch.jobs import ItemCheckpoint, JobCheckpoint
from rackswitch.jobs.tests.support import make_job
from rackswitch.standins.kv_store import KvStore

FORMER_STARTED_UNIX_SECONDS = 5.0
CHECKPOINTED = ItemCheckpoint(item_id="i0", pieces=("a", "b"), versions=(1,))


@pytest.mark.parametrize("runs_ended", [True, False])
@pytest.mark.parametrize("evidence_after_seconds", [None, 0.2, 2.0])
def test_checkpointed_texts_wait_for_evidence_that_their_runs_have_ended(
    runs_ended, evidence_after_seconds
):
    async def scenario():
        context = make_gateway_context("b", KvStore())
        context.member_entries["a"] = make_member(FORMER_STARTED_UNIX_SECONDS)
        checkpoints = JobCheckpoints(context, None, KnownJobs())
        owned = new_owned_job(make_job(), 7, [], None, 0.0)
        checkpoint = JobCheckpoint(
            daemon="a",
            process_started_unix_seconds=FORMER_STARTED_UNIX_SECONDS,
            runs_ended=runs_ended,
            items=(CHECKPOINTED,),
        )
        now_seconds = context.now_seconds()
        checkpoints.resume(owned, checkpoint)
        first_startable = {
            progress.item.item_id for progress in owned.ledger.startable_items(now_seconds)
        }
        if evidence_after_seconds is not None:
            await asyncio.sleep(evidence_after_seconds)
            context.member_entries["a"] = make_member(FORMER_STARTED_UNIX_SECONDS + 1.0)
        await asyncio.sleep(PREDECESSOR_END_TIMEOUT_SECONDS)
        item = owned.ledger.items["i0"]
        startable = item in owned.ledger.startable_items(context.now_seconds())
        await context.daemon.cancel_all()
        return first_startable, item.pieces, startable

    first_startable, pieces, startable = run_on_virtual_clock(scenario())
    # Items without a checkpoint may start at once.
    assert {"i1", "i2", "i3"} <= first_startable
    assert ("i0" in first_startable) is runs_ended
    resumed = runs_ended or evidence_after_seconds == 0.2
    assert pieces == (["a", "b"] if resumed else [])
    assert startable
