import msgspec
import pytest

from rackswitch.jobs import ItemPhase, JobLedger, JobResult, TextPiece, check_job
from rackswitch.jobs.ledger import RETRY_DELAY_SECONDS
from rackswitch.jobs.progress import MAX_IDLE_SECONDS
from rackswitch.jobs.tests.support import finish, make_item, make_job
from rackswitch.outcomes import BrokenInvariant


def test_result_gets_a_position_only_after_it_is_stored():
    ledger = JobLedger(make_job())
    finish(ledger, "i2")
    assert ledger.listed == []
    position, segment = ledger.next_segment()
    assert (position, [result.item_id for result in segment]) == (0, ["i2"])
    ledger.record_segment(position, segment)
    assert [result.item_id for result in ledger.listed] == ["i2"]
    assert not ledger.has_pending


def test_stored_earlier_segment_replaces_the_last_proposed_one():
    ledger = JobLedger(make_job())
    finish(ledger, "i0")
    _, first = ledger.next_segment()
    finish(ledger, "i1")
    # The first append took effect without an answer, so the second one found it stored.
    ledger.record_segment(0, first)
    assert [result.item_id for result in ledger.listed] == ["i0"]
    assert ledger.next_segment()[0] == 1
    assert [result.item_id for result in ledger.next_segment()[1]] == ["i1"]


def test_item_is_never_listed_twice():
    ledger = JobLedger(make_job())
    finish(ledger, "i0")
    _, segment = ledger.next_segment()
    ledger.record_segment(0, segment)
    with pytest.raises(BrokenInvariant):
        ledger.record_segment(1, segment)


def test_new_owner_continues_after_the_listed_results():
    listed = [JobResult(item_id="i1", completed=True, text="x")]
    ledger = JobLedger(make_job(), listed)
    assert ledger.items["i1"].phase is ItemPhase.LISTED
    assert {progress.item.item_id for progress in ledger.startable_items(0.0)} == {"i0", "i2", "i3"}
    finish(ledger, "i0")
    assert ledger.next_segment()[0] == 1


def test_item_is_given_up_exactly_at_the_failure_limit():
    ledger = JobLedger(make_job(), max_failures=3)
    progress = ledger.items["i0"]
    for _ in range(2):
        ledger.record_start(progress)
        ledger.record_failure(progress, 0.0)
        assert progress.result is None
    ledger.record_start(progress)
    ledger.record_failure(progress, 0.0)
    assert progress.result == JobResult(item_id="i0", completed=False)


def test_failed_reward_calls_count_against_the_limit_of_the_reward_route():
    # The job's route allows 3 failures, the reward call's route 4.
    ledger = JobLedger(make_job(reward=True), max_failures=3)
    finish(ledger, "i0")
    progress = ledger.items["i0"]
    assert progress.phase is ItemPhase.SCORING
    assert ledger.record_reward_failures(progress, 3, max_failures=4)
    assert progress.result is None
    assert not ledger.record_reward_failures(progress, 1, max_failures=4)
    assert progress.result == JobResult(item_id="i0", completed=False)


def test_interrupted_runs_do_not_count_as_failures():
    ledger = JobLedger(make_job(), max_failures=1)
    progress = ledger.items["i0"]
    for _ in range(10):
        ledger.record_start(progress)
        ledger.record_interruption(progress, "t", 0.0)
    assert progress.result is None
    assert progress.avoided_instance == "t"


@pytest.mark.parametrize("end", ["error", "not at engine"])
def test_starts_that_reach_no_engine_do_not_end_the_time_at_none(end):
    """Guards against an item that is never overdue as its starts come to nothing."""
    ledger = JobLedger(make_job())
    progress = ledger.items["i0"]
    ledger.record_idle_items(1.0)
    ledger.record_start(progress)
    if end == "error":
        ledger.record_error(progress, 2.0)
    else:
        ledger.record_interruption(progress, "e", 2.0, was_at_engine=False)
    assert progress.idle_since_seconds == 1.0
    assert progress.is_overdue(1.0 + MAX_IDLE_SECONDS)


def test_no_item_starts_after_the_job_is_ended():
    ledger = JobLedger(make_job())
    ledger.end()
    assert ledger.startable_items(100.0) == []


def test_listed_item_drops_its_text_and_does_not_run_again():
    ledger = JobLedger(make_job())
    finish(ledger, "i0")
    ledger.record_segment(*ledger.next_segment())
    progress = ledger.items["i0"]
    assert progress.phase is ItemPhase.LISTED
    assert progress.pieces == []
    assert "i0" not in [item.item.item_id for item in ledger.startable_items(100.0)]


def test_interrupted_or_failed_run_is_retried_after_a_delay():
    for end in ("broke", "failed"):
        ledger = JobLedger(make_job(1))
        progress = ledger.items["i0"]
        ledger.record_start(progress)
        if end == "broke":
            ledger.record_interruption(progress, "e", 10.0)
        else:
            ledger.record_failure(progress, 10.0)
        assert ledger.startable_items(10.0) == []
        assert ledger.startable_items(10.0 + RETRY_DELAY_SECONDS) == [progress]


def test_completed_item_is_not_given_up():
    ledger = JobLedger(make_job(1))
    finish(ledger, "i0")
    ledger.give_up(ledger.items["i0"])
    [result] = ledger.next_segment()[1]
    assert result.completed


def test_piece_of_a_too_old_version_is_rejected():
    progress = JobLedger(make_job(1)).items["i0"]
    assert progress.accept(TextPiece(1, "a", 3), 4) is not None
    assert progress.pieces == []
    assert progress.accept(TextPiece(1, "a", 4), 4) is None


@pytest.mark.parametrize(
    ("job", "message"),
    [
        (make_job(0), "`items` is empty"),
        (
            msgspec.structs.replace(make_job(1), items=(make_item(0), make_item(0))),
            "occurs more than once",
        ),
        (
            msgspec.structs.replace(
                make_job(1), items=(msgspec.structs.replace(make_item(0), path="p"),)
            ),
            "must begin with a slash",
        ),
        (
            msgspec.structs.replace(
                make_job(1), items=(msgspec.structs.replace(make_item(0), item_id=""),)
            ),
            "is empty",
        ),
    ],
)
def test_rejection_of_an_invalid_job_names_the_field(job, message):
    assert message in check_job(job)


def test_valid_job_is_accepted():
    assert check_job(make_job()) is None


@pytest.mark.parametrize("end", ["broke", "failed", "postponed", "whole"])
def test_end_of_a_run_is_ignored_after_another_owner_listed_its_item(end):
    ledger = JobLedger(make_job(items=1, reward=True))
    (progress,) = ledger.items.values()
    ledger.record_start(progress)
    listed = JobResult(item_id=progress.item.item_id, completed=True, text="a", versions=(1,))
    ledger.record_segment(0, [listed])
    ends = {
        "broke": lambda: ledger.record_interruption(progress, "e0", 0.0),
        "failed": lambda: ledger.record_failure(progress, 0.0),
        "postponed": lambda: ledger.postpone(progress, 0.0),
        "whole": lambda: ledger.record_complete_text(progress),
    }
    ends[end]()
    assert progress.phase is ItemPhase.LISTED
    assert ledger.startable_items(1.0) == []
    assert not ledger.has_pending
