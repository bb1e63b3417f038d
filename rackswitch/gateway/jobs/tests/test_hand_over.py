"""Hand-over of jobs under planned stops, outages and failures of the owner or the successor."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.jobs.job_checkpoints import MIN_CHECKPOINT_PIECES
from rackswitch.gateway.jobs.job_outcomes import JobCreated
from rackswitch.gateway.jobs.job_reader import JobReader
from rackswitch.gateway.jobs.job_records import (
    RESULTS_PREFIX,
    pack_checkpoint,
    pack_job,
    pack_results,
)
from rackswitch.gateway.jobs.tests.hand_over_fleet import HandOverFleet, make_batch
from rackswitch.gateway.policy import PolicySettings
from rackswitch.jobs import JobResult
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.links import PeerUnreachable

MAX_STALL_SECONDS = 0.3


def run_with_fleet(scenario, **fleet_options):
    async def run():
        fleet = HandOverFleet(**fleet_options)
        await asyncio.sleep(1.0)
        try:
            async with asyncio.timeout(300.0):
                return await scenario(fleet)
        finally:
            await fleet.stop_all()

    return run_on_virtual_clock(run())


def test_a_planned_stop_under_full_load_repeats_no_piece_and_stalls_no_job():
    async def scenario(fleet):
        jobs = [make_batch(name, items=4) for name in ("j", "k", "l")]
        for job in jobs:
            await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        await fleet.processes["a"].stop()
        for job in jobs:
            assert fleet.owners(job.job_id) in (["b"], ["c"])
        for job in jobs:
            await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0
        assert fleet.engines.longest_stall_seconds() <= MAX_STALL_SECONDS

    run_with_fleet(scenario)


def test_daemons_stopped_one_after_the_other_repeat_no_piece():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        for name in "abcd":
            await asyncio.sleep(0.5)
            await fleet.processes[name].stop()
            fleet.start(name)
        await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0
        assert fleet.engines.longest_stall_seconds() <= MAX_STALL_SECONDS

    run_with_fleet(scenario, names="abcd")


def test_without_hand_over_a_job_is_released_through_the_key_value_service():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        sent = []
        links = fleet.processes["a"].context.daemon.links
        call = links.call

        async def record(peer, method, message, timeout_seconds, stub_kind):
            sent.append(message)
            return await call(peer, method, message, timeout_seconds, stub_kind)

        links.call = record
        await fleet.processes["a"].stop()
        assert fleet.workers() == []
        assert not any(isinstance(message, pb.HandOverRequest) for message in sent)
        # The successor claims the unowned job and resumes from its checkpoint.
        assert "control/owners/j" not in fleet.kv.keys
        assert "progress/j" in fleet.kv.keys
        await fleet.wait_complete(job)

    run_with_fleet(scenario, policy=PolicySettings(jobs_handed_over=False))


@pytest.mark.parametrize("handed_over", [True, False])
def test_only_without_hand_over_appends_are_retried_during_an_outage(handed_over):
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        fleet.set_service_down(True)
        appends = []
        store = fleet.processes["a"].job_manager._store
        append = store.append

        class RecordingStore(type(store)):
            __slots__ = ()

            async def append(self, *args):
                appends.append(args)
                return await append(*args)

        store.__class__ = RecordingStore
        await asyncio.sleep(6.0)
        # All texts are complete by now; the first one may be from before the lease was uncertain.
        assert (len(appends) > 1) is not handed_over
        fleet.set_service_down(False)
        await fleet.wait_complete(job)

    run_with_fleet(scenario, policy=PolicySettings(jobs_handed_over=handed_over))


@pytest.mark.parametrize("phase_seconds", [0.0, 0.04, 0.08, 0.12])
@pytest.mark.parametrize("leases_end", [True, False])
def test_a_stop_while_the_service_is_silent_repeats_no_piece_and_serves_no_unlisted_result(
    phase_seconds, leases_end
):
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        fleet.set_service_down(True)
        await asyncio.sleep(2.0)
        await fleet.processes["a"].stop()
        assert fleet.owners() == []
        (worker,) = fleet.workers()
        owned = fleet.processes[worker].job_manager.owned["j"]
        await asyncio.sleep(3.0 + phase_seconds)
        # All texts are complete by now, and none is listed.
        assert owned.ledger.has_pending
        assert owned.ledger.listed == []
        assert await fleet.listed() == []
        # Leases may expire during an outage or not.
        for lease_id in list(fleet.kv.leases):
            if leases_end:
                fleet.kv.end_lease(lease_id)
            else:
                fleet.kv.leases[lease_id].deadline_seconds = float("inf")
        fleet.set_service_down(False)
        await asyncio.sleep(0.3)
        assert fleet.owners() == [worker]
        assert len(await fleet.listed()) == len(job.items)
        assert fleet.engines.repeated_pieces() == 0
        assert fleet.engines.longest_stall_seconds() <= MAX_STALL_SECONDS

    run_with_fleet(scenario)


@pytest.mark.parametrize("phase_seconds", [0.0, 0.04, 0.08, 0.12])
def test_an_owner_that_stays_lists_finished_results_right_after_an_outage(phase_seconds):
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        fleet.set_service_down(True)
        await asyncio.sleep(6.0 + phase_seconds)
        for lease_id in list(fleet.kv.leases):
            fleet.kv.end_lease(lease_id)
        assert await fleet.listed() == []
        fleet.set_service_down(False)
        await asyncio.sleep(0.3)
        assert fleet.owners() == ["a"]
        assert len(await fleet.listed()) == len(job.items)

    run_with_fleet(scenario)


def test_a_process_started_in_an_outage_does_not_claim_a_live_owners_job():
    # Guards against a new process that claims a live owner's job and generates its texts again.
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        fleet.set_service_down(True)
        for name in "bc":
            await fleet.processes[name].context.daemon.cancel_all()
            fleet.start(name).faults.down = True
        await asyncio.sleep(2.0)
        for lease_id in list(fleet.kv.leases):
            fleet.kv.end_lease(lease_id)
        fleet.set_service_down(False)
        await fleet.wait_complete(job)
        assert fleet.owners() == ["a"]
        assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario)


def test_short_recoveries_during_an_outage_repeat_no_piece():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        fleet.set_service_down(True)
        await fleet.processes["a"].stop()
        await asyncio.sleep(1.0)
        for _ in range(3):
            for lease_id in list(fleet.kv.leases):
                fleet.kv.end_lease(lease_id)
            fleet.set_service_down(False)
            await asyncio.sleep(0.2)
            fleet.set_service_down(True)
            await asyncio.sleep(1.0)
        fleet.set_service_down(False)
        await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0
        assert fleet.engines.max_concurrent_runs == 1

    run_with_fleet(scenario)


class LinksThatKillSuccessor:
    """Kills the successor at a given point of the hand-over."""

    def __init__(self, fleet, kill_when):
        self._fleet = fleet
        self._links = fleet.processes["a"].context.daemon.links
        self._kill_when = kill_when
        self.killed = ""

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        if isinstance(message, pb.HandOverRequest) and self._kill_when == "before it claims":
            self._kill(peer.daemon)
        if isinstance(message, pb.YieldJobRequest) and self._kill_when == "after it claims":
            self._kill(message.daemon)
        if self.killed and message_sender(message) == self.killed:
            await asyncio.sleep(3600.0)
        reply = await self._links.call(peer, method, message, timeout_seconds, stub_kind)
        if isinstance(message, pb.YieldJobRequest) and not self.killed:
            self._kill(message.daemon)
            await asyncio.sleep(3600.0)
        return reply

    def _kill(self, name):
        if not self.killed:
            self.killed = name
            self._kill_task = asyncio.create_task(
                self._fleet.processes[name].context.daemon.cancel_all()
            )


def message_sender(message):
    return message.daemon if isinstance(message, pb.YieldJobRequest) else ""


@pytest.mark.parametrize(
    "kill_when", ["before it claims", "after it claims", "after it has the texts"]
)
def test_a_job_survives_a_successor_that_crashes_during_the_hand_over(kill_when):
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        links = LinksThatKillSuccessor(fleet, kill_when)
        for process in fleet.processes.values():
            process.context.daemon.links = links
        await fleet.processes["a"].stop()
        (survivor,) = set("bc") - {links.killed}
        await fleet.wait_complete(job)
        assert fleet.owners() == [survivor]
        if kill_when == "before it claims":
            assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario)


def test_two_daemons_that_stop_at_once_do_not_hand_over_to_each_other():
    async def scenario(fleet):
        jobs = [make_batch("j", items=6), make_batch("k", items=6)]
        await fleet.submit("a", jobs[0])
        await fleet.submit("b", jobs[1])
        await asyncio.sleep(1.0)
        await asyncio.gather(fleet.processes["a"].stop(), fleet.processes["b"].stop())
        assert fleet.owners("j") == ["c"]
        assert fleet.owners("k") == ["c"]
        for job in jobs:
            await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario)


def test_a_daemon_stopped_while_it_receives_a_job_hands_it_over():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        first_stop = asyncio.create_task(fleet.processes["a"].stop())
        while not any(process.job_manager._jobs.incoming for process in fleet.processes.values()):
            await asyncio.sleep(0.001)
        successor = next(
            name for name, process in fleet.processes.items() if process.job_manager._jobs.incoming
        )
        await asyncio.gather(first_stop, fleet.processes[successor].stop())
        (next_successor,) = set("bc") - {successor}
        assert fleet.owners() == [next_successor]
        await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario)


def test_if_all_daemons_stop_jobs_resume_from_the_stored_checkpoint():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        await asyncio.gather(*(process.stop() for process in fleet.processes.values()))
        assert fleet.workers() == []
        for name in "ab":
            fleet.start(name)
        await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario, names="ab")


def test_a_hand_over_concurrent_with_an_orphan_claim_ends_with_one_owner():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        # The owner loses its connection, its lease expires, and another daemon claims the job.
        fleet.processes["a"].faults.down = True
        fleet.kv.end_lease(fleet.processes["a"].session.lease_id)
        await asyncio.sleep(0.25)
        stopping = asyncio.create_task(fleet.processes["a"].stop())
        await stopping
        await asyncio.sleep(3.0)
        assert len(fleet.owners()) == 1
        assert fleet.workers() == fleet.owners()
        await fleet.wait_complete(job)

    run_with_fleet(scenario)


def test_an_owner_resumed_after_a_suspension_lists_no_result_of_a_lost_job():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        former = fleet.processes["a"]
        former.kv.running.clear()
        await asyncio.sleep(4.0)
        (owner,) = set(fleet.owners()) - {"a"}
        before = fleet.kv.keys["control/owners/j"].entry.mod_revision
        former.kv.running.set()
        await asyncio.sleep(2.0)
        assert fleet.owners() == [owner]
        assert fleet.kv.keys["control/owners/j"].entry.mod_revision == before
        await fleet.wait_complete(job)

    run_with_fleet(scenario)


def test_an_owner_suspended_during_its_hand_over_does_not_run_the_job_again():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        former = fleet.processes["a"]
        stopping = asyncio.create_task(former.stop())
        while former.job_manager.owned:
            await asyncio.sleep(0.001)
        former.kv.running.clear()
        await asyncio.sleep(4.0)
        former.kv.running.set()
        await stopping
        assert "a" not in fleet.workers()
        await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario)


def test_a_successor_without_the_service_refuses_a_job_that_must_be_claimed_at_once():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        for name in "bc":
            fleet.processes[name].faults.down = True
        sender = fleet.processes["a"].job_manager._sender
        owned = fleet.processes["a"].job_manager.owned["j"]
        reply = await sender._offer(owned, "b", service_unreachable=False)
        assert not reply.taken
        assert reply.service_away
        assert fleet.owners() == ["a"]
        await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario)


def test_a_job_that_is_ended_during_its_hand_over_runs_nowhere():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        stopping = asyncio.create_task(fleet.processes["a"].stop())
        marker = fleet.processes["b"].job_manager.known.marker("j")
        ending = fleet.processes["b"].job_manager.end(marker)
        await asyncio.gather(stopping, ending)
        await asyncio.sleep(1.0)
        assert fleet.workers() == []

    run_with_fleet(scenario)


def test_an_invalid_hand_over_request_is_refused():
    async def scenario(fleet):
        reply = await fleet.processes["a"].job_manager.receive_hand_over(
            pb.HandOverRequest(job=b"\xff\x00")
        )
        assert not reply.taken

    run_with_fleet(scenario)


def test_a_job_is_released_after_unanswered_offers():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)

        class UnresponsiveLinks:
            async def call(self, peer, method, message, timeout_seconds, stub_kind):
                await asyncio.sleep(timeout_seconds)
                return PeerUnreachable("silent")

        fleet.processes["a"].context.daemon.links = UnresponsiveLinks()
        await fleet.processes["a"].stop()
        assert "control/owners/j" not in fleet.kv.keys
        await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario)


def test_a_process_that_knows_no_engine_refuses_a_hand_over():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        fleet.processes["b"].context.directory.entries.clear()
        owned = fleet.processes["a"].job_manager.owned["j"]
        reply = await fleet.processes["a"].job_manager._sender._offer(
            owned, "b", service_unreachable=False
        )
        assert not reply.taken
        assert fleet.owners() == ["a"]

    run_with_fleet(scenario)


def test_a_restarted_owner_reclaims_its_jobs_in_one_write_with_their_texts():
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(2.8)
        await fleet.processes["a"].context.daemon.cancel_all()
        former = fleet.kv.keys["control/owners/j"].entry.mod_revision
        fleet.start("a").context.process_started_unix_seconds += 10.0
        deleted = len(fleet.kv.deleted)
        async with asyncio.timeout(1.0):
            while fleet.owners() != ["a"]:
                await asyncio.sleep(0.01)
        assert fleet.kv.keys["control/owners/j"].entry.mod_revision > former
        assert "control/owners/j" not in [key for key, _ in fleet.kv.deleted[deleted:]]
        progress = fleet.processes["a"].job_manager.owned["j"].ledger.items.values()
        assert min(item.last_number for item in progress) >= MIN_CHECKPOINT_PIECES
        await fleet.wait_complete(job)

    run_with_fleet(scenario)


def test_after_a_loss_of_all_daemons_all_jobs_run_within_a_second():
    async def scenario(fleet):
        jobs = [make_batch(name, items=4) for name in ("j", "k", "l")]
        for name, job in zip("abc", jobs, strict=True):
            await fleet.submit(name, job)
        await asyncio.sleep(2.0)
        for process in fleet.processes.values():
            await process.context.daemon.cancel_all()
        for name in "abc":
            fleet.start(name).context.process_started_unix_seconds += 10.0
        await asyncio.sleep(1.0)
        items = [item.item_id for job in jobs for item in job.items]
        assert all(fleet.engines.running[item_id] == 1 for item_id in items)
        for job in jobs:
            await fleet.wait_complete(job)

    run_with_fleet(scenario)


def test_the_only_successor_takes_a_job_when_an_outage_has_just_begun():
    # Neither daemon has detected the outage yet.
    async def scenario(fleet):
        job = make_batch()
        await fleet.submit("a", job)
        await asyncio.sleep(1.0)
        fleet.set_service_down(True)
        assert not fleet.processes["a"].context.store_reachability.is_unreachable
        await fleet.processes["a"].job_manager.hand_over()
        assert fleet.processes["b"].job_manager.owned["j"].awaits_claim
        await fleet.processes["a"].context.daemon.cancel_all()
        fleet.set_service_down(False)
        await fleet.wait_complete(job)
        assert fleet.engines.repeated_pieces() == 0

    run_with_fleet(scenario, names="ab")


def reader_of(process) -> JobReader:
    return JobReader(
        process.context, process.job_manager, process.job_manager._store, process.session
    )


async def read_from_memory(process, position=0):
    """Return the item ids that a daemon serves from memory; None if it serves none."""
    page = await reader_of(process).owned_page("j", position, 0.0)
    return page and [result.item_id for result in page.results]


async def wait_listed(fleet, count):
    async with asyncio.timeout(60.0):
        while len(await fleet.listed()) < count:
            await asyncio.sleep(0.05)


def test_a_successor_serves_no_fewer_results_than_the_sender_had_listed():
    async def scenario(fleet):
        job = make_batch(items=24)
        await fleet.submit("a", job)
        await wait_listed(fleet, 12)
        sender_job = fleet.processes["a"].job_manager.owned["j"]
        # The offer was sent before the reply to the append, so it lists no results.
        sender_job.successor = "b"
        reply = await fleet.processes["b"].job_manager.receive_hand_over(
            pb.HandOverRequest(
                daemon="a",
                job=pack_job(job),
                owner_revision=sender_job.owner_revision,
                listed=pack_results([]),
                checkpoint=_empty_checkpoint(fleet.processes["a"]),
                marker_revision=fleet.processes["a"].job_manager.known.marker_revision("j"),
            )
        )
        assert reply.taken and reply.owner_revision
        before = await fleet.listed()
        while len(await fleet.listed()) < len(job.items):
            readable_results = await read_from_memory(fleet.processes["b"])
            assert readable_results is None or readable_results[: len(before)] == before
            await asyncio.sleep(0.05)
        assert (await fleet.listed())[: len(before)] == before
        await fleet.wait_complete(job)

    run_with_fleet(scenario)


def _empty_checkpoint(process):
    return pack_checkpoint(process.job_manager._checkpoints._checkpoint((), runs_ended=False))


def test_an_owner_with_a_new_lease_serves_no_results_before_its_claim():
    async def scenario(fleet):
        await fleet.submit("a", make_batch(items=24))
        await wait_listed(fleet, 12)
        process = fleet.processes["a"]
        assert len(await read_from_memory(process)) == 12
        claimed = asyncio.Event()

        class SlowStore(type(process.job_manager._store)):
            __slots__ = ()

            async def claim_and_append(self, *args):
                await claimed.wait()
                return await super().claim_and_append(*args)

        process.job_manager._store.__class__ = SlowStore
        deadline_seconds = process.context.now_seconds() + 2.5
        waiting = asyncio.create_task(reader_of(process).owned_page("j", 12, deadline_seconds))
        await asyncio.sleep(0.1)
        old_lease_id = process.session.lease_id
        fleet.kv.end_lease(old_lease_id)
        process.session.record_lease_lost(old_lease_id)
        while process.session.lease_id in (old_lease_id, None) or not process.session.is_valid():
            await asyncio.sleep(0.02)
        assert fleet.owners() == ["a"]
        assert await read_from_memory(process) is None
        assert await waiting is None
        claimed.set()
        await asyncio.sleep(1.0)
        assert len(await read_from_memory(process)) >= 12

    run_with_fleet(scenario, names="a")


@pytest.mark.parametrize("handed_over", [True, False])
def test_an_owner_that_claims_again_serves_no_results_before_it_has_those_of_others(
    handed_over,
):
    async def scenario(fleet):
        job = make_batch(items=24)
        await fleet.submit("a", job)
        await wait_listed(fleet, 12)
        process = fleet.processes["a"]
        await asyncio.sleep(0.5)
        old_lease_id = process.session.lease_id
        fleet.kv.end_lease(old_lease_id)
        process.session.record_lease_lost(old_lease_id)
        # Another daemon owned the job for a moment and appended a segment.
        listed = await fleet.listed()
        missing = next(item.item_id for item in job.items if item.item_id not in listed)
        text = "\n".join(f"{missing}:{number + 1}" for number in range(fleet.engines.pieces))
        segment = [JobResult(item_id=missing, completed=True, text=text, versions=(1,))]
        await fleet.kv_put(f"{RESULTS_PREFIX}j/{12:08d}", pack_results(segment))
        while len(await fleet.listed()) < len(job.items):
            readable_results = await read_from_memory(process)
            assert readable_results is None or missing in readable_results
            await asyncio.sleep(0.05)
        assert (await fleet.listed())[12] == missing
        await fleet.wait_complete(job)
        # No run of the item that was listed meanwhile is active.
        assert fleet.engines.running[missing] == 0

    run_with_fleet(scenario, names="a", policy=PolicySettings(jobs_handed_over=handed_over))


def test_a_late_reply_to_an_append_on_a_lost_lease_does_not_prove_ownership():
    async def scenario(fleet):
        await fleet.submit("a", make_batch(items=24))
        await asyncio.sleep(1.0)
        process = fleet.processes["a"]
        append_done, may_reply = asyncio.Event(), asyncio.Event()

        class LateReplyStore(type(process.job_manager._store)):
            __slots__ = ()

            async def append(self, *args):
                outcome = await super().append(*args)
                append_done.set()
                await may_reply.wait()
                return outcome

            async def claim_and_append(self, *args):
                await asyncio.sleep(2.0)
                return await super().claim_and_append(*args)

        process.job_manager._store.__class__ = LateReplyStore
        await append_done.wait()
        old_lease_id = process.session.lease_id
        fleet.kv.end_lease(old_lease_id)
        process.session.record_lease_lost(old_lease_id)
        may_reply.set()
        while process.session.lease_id is None or not process.session.is_valid():
            await asyncio.sleep(0.02)
        assert process.job_manager.owned["j"].ledger.listed
        assert await read_from_memory(process) is None

    run_with_fleet(scenario, names="a")


def test_a_refused_offer_of_an_unstored_job_does_not_make_it_known():
    async def scenario(fleet):
        await asyncio.sleep(1.0)
        job = make_batch()
        reply = await fleet.processes["b"].job_manager.receive_hand_over(
            pb.HandOverRequest(
                daemon="a",
                job=pack_job(job),
                owner_revision=5,
                listed=pack_results([]),
                checkpoint=_empty_checkpoint(fleet.processes["a"]),
                marker_revision=5,
            )
        )
        assert not reply.taken
        assert "j" not in fleet.processes["b"].job_manager.known.jobs
        # A submission is accepted only once the job is stored.
        assert isinstance(await fleet.processes["b"].job_manager.submit(job), JobCreated)

    run_with_fleet(scenario)
