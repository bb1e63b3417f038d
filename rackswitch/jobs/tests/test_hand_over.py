import itertools
import random

from rackswitch.jobs import (
    JobCheckpoint,
    JobLedger,
    OrphanedJobs,
    OwnerCandidate,
    SuccessorCandidate,
    checkpoint_items,
    is_restarted,
    merge_checkpoints,
    order_jobs,
    order_successors,
)
from rackswitch.jobs.tests.support import finish, make_job
from rackswitch.membership import VmCapacity


def candidate(name: str, renewed=False, in_zone=True, items=0, idle=0.0) -> SuccessorCandidate:
    owner = OwnerCandidate(name, VmCapacity(0.5), items, idle, renewed)
    return SuccessorCandidate(owner, in_zone)


def test_successors_are_ordered_by_restart_zone_capacity_and_connections():
    ordered = [
        candidate("e", renewed=True),
        candidate("d", renewed=True, in_zone=False),
        candidate("c"),
        candidate("b", idle=60.0),
        candidate("f", items=10_000),
        candidate("a", in_zone=False),
    ]
    names = [one.owner.daemon for one in ordered]
    for seed in range(20):
        shuffled = random.Random(seed).sample(ordered, len(ordered))
        assert order_successors("j", 10, shuffled) == names


def test_jobs_of_one_owner_are_spread_over_equal_successors():
    alike = [candidate(name) for name in "abcdef"]
    first = {order_successors(f"j{number}", 10, alike)[0] for number in range(40)}
    assert first == set("abcdef")


def test_lone_daemon_has_no_successor():
    assert order_successors("j", 10, []) == []


def test_process_is_renewed_if_started_after_the_fleet_and_not_just_now():
    assert not is_restarted(None, 100.0, 200.0)
    # Processes of a fleet that is started at once start within a second.
    assert not is_restarted(100.4, 100.0, 200.0)
    assert is_restarted(150.0, 100.0, 200.0)
    # A process that has just started knows no engines.
    assert not is_restarted(199.5, 100.0, 200.0)


def test_jobs_that_complete_a_step_come_first_then_those_with_fewest_missing_items():
    deciding = JobLedger(make_job(2, job_id="deciding"))
    finish(deciding, "i0")
    finish(deciding, "i1")
    long = JobLedger(make_job(6, job_id="long"))
    short = JobLedger(make_job(4, job_id="short"))
    for order in itertools.permutations((long, deciding, short)):
        assert [one.job.job_id for one in order_jobs(order)] == ["deciding", "short", "long"]


def test_merge_keeps_a_result_that_was_being_appended():
    ledger = JobLedger(make_job(3))
    finish(ledger, "i0")
    ledger.items["i1"].pieces, ledger.items["i1"].versions = ["x"], [1]
    earlier = JobCheckpoint(
        daemon="a",
        process_started_unix_seconds=1.0,
        runs_ended=False,
        items=checkpoint_items(ledger, 1),
    )
    ledger.record_segment(*ledger.next_segment())
    ledger.items["i1"].pieces.append("y")
    later = JobCheckpoint(
        daemon="a",
        process_started_unix_seconds=1.0,
        runs_ended=True,
        items=checkpoint_items(ledger, 1),
    )
    merged = merge_checkpoints(earlier, later)
    assert merged.runs_ended
    by_id = {item.item_id: item for item in merged.items}
    assert by_id["i0"].result is not None
    assert by_id["i1"].pieces == ("x", "y")
    assert len(merged.items) == 2


def test_successors_in_the_own_region_come_first():
    """Guards against jobs whose results and reward calls cross the link between regions."""
    far = SuccessorCandidate(
        OwnerCandidate("a", VmCapacity(0.5), 0, 0.0, True), False, in_region=False
    )
    near = [candidate("b", in_zone=False), candidate("c"), candidate("d", items=10_000)]
    assert order_successors("j", 10, [far, *near]) == ["c", "d", "b", "a"]


def test_daemons_near_the_former_owner_claim_a_job_first():
    """Guards against an adoption in another region while a daemon of the own one is live."""
    live = [f"d{number}" for number in range(12)]
    distances = {name: 0 if name == "d7" else 1 if name in ("d3", "d9") else 2 for name in live}

    def first_claim_seconds(daemon: str) -> float:
        orphaned_jobs = OrphanedJobs(daemon)
        orphaned_jobs.record_orphaned("j", 0.0)
        now_seconds = 0.0
        while not orphaned_jobs.try_claim("j", live, False, True, now_seconds, distances):
            now_seconds += 0.1
        return now_seconds

    times = {daemon: first_claim_seconds(daemon) for daemon in live}
    assert min(live, key=times.__getitem__) == "d7"
    assert sorted(live, key=times.__getitem__)[1:3] in (["d3", "d9"], ["d9", "d3"])
