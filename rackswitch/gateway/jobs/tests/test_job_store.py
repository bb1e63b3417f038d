import msgspec

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.jobs.job_outcomes import (
    AppendConflict,
    Appended,
    JobCreated,
    JobKnown,
    JobNotStored,
)
from rackswitch.gateway.jobs.job_records import JobMarker, job_key_part
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.jobs import JobCheckpoint, JobResult
from rackswitch.jobs.tests.support import make_job
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore

FIRST = [JobResult(item_id="i0", completed=True, text="a", versions=(1,), score="s")]
OTHER = [JobResult(item_id="i1", completed=True, text="b", versions=(1,), score="s")]


def make_store(name: str, kv: KvStore, faults: KvFaults | None = None) -> JobStore:
    return JobStore(make_gateway_context(name, kv, faults=faults))


def test_a_job_is_created_once_and_loaded_completely():
    async def scenario():
        kv = KvStore()
        lease = kv.grant(100.0, 0.0)
        job = make_job(reward=True)
        first = await make_store("a", kv).create(job, lease)
        second = await make_store("b", kv).create(job, lease)
        assert isinstance(first, JobCreated)
        assert isinstance(second, JobKnown)
        assert await make_store("b", kv).load_items("j") == job

    run_on_virtual_clock(scenario())


def test_a_job_without_a_valid_lease_is_not_stored():
    async def scenario():
        kv = KvStore()
        # Guards against JobKnown, by which the submitter would assume that the job is stored.
        outcome = await make_store("a", kv).create(make_job(), 77)
        assert isinstance(outcome, JobNotStored)
        assert kv.keys == {}

    run_on_virtual_clock(scenario())


def test_results_keep_their_positions_over_segments():
    async def scenario():
        kv = KvStore()
        store = make_store("a", kv)
        created = await store.create(make_job(), kv.grant(100.0, 0.0))
        assert isinstance(await store.append("j", created.owner_revision, 0, FIRST), Appended)
        assert isinstance(await store.append("j", created.owner_revision, 1, OTHER), Appended)
        reader = make_store("b", kv)
        assert await reader.load_results("j", 0) == [*FIRST, *OTHER]
        assert await reader.load_results("j", 1) == OTHER

    run_on_virtual_clock(scenario())


def test_an_unanswered_append_that_took_effect_is_recognized():
    async def scenario():
        kv = KvStore()
        faults = KvFaults()
        store = make_store("a", kv, faults)
        created = await store.create(make_job(), kv.grant(100.0, 0.0))
        faults.lost_answer = 1.0
        assert isinstance(await store.append("j", created.owner_revision, 0, FIRST), JobNotStored)
        faults.lost_answer = 0.0
        outcome = await store.append("j", created.owner_revision, 0, [*FIRST, *OTHER])
        assert outcome == Appended(FIRST, already_stored=True)

    run_on_virtual_clock(scenario())


def test_a_former_owner_does_not_accept_the_new_owners_segment_as_its_own():
    # Guards against a former owner that keeps serving reads from an outdated list.
    async def scenario():
        kv = KvStore()
        former, successor = make_store("a", kv), make_store("b", kv)
        lease = kv.grant(100.0, 0.0)
        created = await former.create(make_job(), lease)
        kv.end_lease(lease)
        marker = await successor.load_marker("j")
        claimed = await successor.claim("j", marker.mod_revision, kv.grant(100.0, 0.0), 0)
        assert isinstance(claimed, int) and claimed > created.owner_revision
        assert isinstance(await successor.append("j", claimed, 0, FIRST), Appended)
        outcome = await former.append("j", created.owner_revision, 0, OTHER)
        assert isinstance(outcome, AppendConflict)
        assert await successor.load_results("j", 0) == FIRST

    run_on_virtual_clock(scenario())


def test_one_of_two_claims_succeeds():
    async def scenario():
        kv = KvStore()
        lease = kv.grant(100.0, 0.0)
        await make_store("a", kv).create(make_job(), lease)
        kv.end_lease(lease)
        marker = await make_store("b", kv).load_marker("j")
        own_lease = kv.grant(100.0, 0.0)
        claims = [
            await make_store(name, kv).claim("j", marker.mod_revision, own_lease, 0)
            for name in ("b", "c")
        ]
        assert claims[0] > 0
        assert claims[1] == 0

    run_on_virtual_clock(scenario())


def test_an_ended_job_cannot_be_claimed_or_appended_to():
    async def scenario():
        kv = KvStore()
        store = make_store("a", kv)
        created = await store.create(make_job(), kv.grant(100.0, 0.0))
        known = await store.load_marker("j")
        await store.end(msgspec.json.decode(known.value, type=JobMarker))
        outcome = await store.append("j", created.owner_revision, 0, FIRST)
        assert isinstance(outcome, AppendConflict)
        assert await store.claim("j", known.mod_revision, kv.grant(100.0, 0.0), 0) == 0

    run_on_virtual_clock(scenario())


def test_identities_that_do_not_fit_in_a_key_are_hashed():
    assert job_key_part("7c41e09b52d6a3f8") == "7c41e09b52d6a3f8"
    assert job_key_part("a/b").startswith(".")
    assert len(job_key_part("x" * 500)) < 64


def test_a_claim_deletes_the_former_owners_checkpoint():
    # Guards against a third owner that resumes from texts which the second one's runs extend.
    async def scenario():
        kv = KvStore()
        first, second, third = (make_store(name, kv) for name in ("a", "b", "c"))
        created = await first.create(make_job(), kv.grant(100.0, 0.0))
        checkpoint = JobCheckpoint(
            daemon="a", process_started_unix_seconds=1.0, runs_ended=True, items=()
        )
        await first.release("j", created.owner_revision, checkpoint)
        marker = await second.load_marker("j")
        stored = await second.load_checkpoint("j")
        assert stored.checkpoint == checkpoint
        lease = kv.grant(100.0, 0.0)
        stale = await second.claim("j", marker.mod_revision, lease, 0)
        assert stale == 0
        assert await second.claim("j", marker.mod_revision, lease, stored.revision) > 0
        assert (await third.load_checkpoint("j")).checkpoint is None

    run_on_virtual_clock(scenario())


def test_only_the_owner_can_store_checkpoints():
    async def scenario():
        kv = KvStore()
        store = make_store("a", kv)
        created = await store.create(make_job(), kv.grant(100.0, 0.0))
        checkpoint = JobCheckpoint(
            daemon="a", process_started_unix_seconds=1.0, runs_ended=False, items=()
        )
        await store.store_checkpoint("j", created.owner_revision + 1, checkpoint)
        assert (await store.load_checkpoint("j")).checkpoint is None
        await store.store_checkpoint("j", created.owner_revision, checkpoint)
        assert (await store.load_checkpoint("j")).checkpoint == checkpoint

    run_on_virtual_clock(scenario())


def test_a_claim_at_a_position_is_refused_if_a_result_is_stored_there():
    async def scenario():
        kv = KvStore()
        store = make_store("a", kv)
        lease_id = kv.grant(100.0, 0.0)
        created = await store.create(make_job(), lease_id)
        first = created.owner_revision
        assert await store.append("j", first, 0, FIRST) == Appended(FIRST)
        assert await store.claim_and_append("j", first, 0, lease_id, 0) == 0
        claimed = await store.claim_and_append("j", first, 0, lease_id, len(FIRST))
        assert claimed > first
        # A claim without a position succeeds whatever is stored.
        assert await store.claim_and_append("j", claimed, 0, lease_id) > claimed
        assert await store.load_results("j", 0) == FIRST

    run_on_virtual_clock(scenario())
