import msgspec
import pytest

from rackswitch.jobs import ItemPhase, JobLedger, JobResult, TextPiece, check_job
from rackswitch.jobs.ledger import RETRY_PAUSE_SECONDS
from rackswitch.jobs.tests.support import finish, make_item, make_job
from rackswitch.outcomes import BrokenInvariant


def test_a_result_has_a_position_only_once_it_is_kept():
    ledger = JobLedger(make_job())
    finish(ledger, "i2")
    assert ledger.listed == []
    position, segment = ledger.next_segment()
    assert (position, [result.item_id for result in segment]) == (0, ["i2"])
    ledger.appended(position, segment)
    assert [result.item_id for result in ledger.listed] == ["i2"]
    assert not ledger.has_pending


def test_an_earlier_proposal_that_was_kept_takes_the_place_of_the_last_one():
    ledger = JobLedger(make_job())
    finish(ledger, "i0")
    _, first = ledger.next_segment()
    finish(ledger, "i1")
    # The first write went unanswered and took effect; the second met it.
    ledger.appended(0, first)
    assert [result.item_id for result in ledger.listed] == ["i0"]
    assert ledger.next_segment()[0] == 1
    assert [result.item_id for result in ledger.next_segment()[1]] == ["i1"]


def test_an_item_is_never_listed_twice():
    ledger = JobLedger(make_job())
    finish(ledger, "i0")
    _, segment = ledger.next_segment()
    ledger.appended(0, segment)
    with pytest.raises(BrokenInvariant):
        ledger.appended(1, segment)


def test_a_new_owner_goes_on_behind_what_is_listed():
    listed = [JobResult(item_id="i1", completed=True, text="x")]
    ledger = JobLedger(make_job(), listed)
    assert ledger.items["i1"].phase is ItemPhase.LISTED
    assert {progress.item.item_id for progress in ledger.waiting(0.0)} == {"i0", "i2", "i3"}
    finish(ledger, "i0")
    assert ledger.next_segment()[0] == 1


def test_an_item_is_given_up_after_the_allowed_failures_and_not_before():
    ledger = JobLedger(make_job(), max_failures=3)
    progress = ledger.items["i0"]
    for _ in range(2):
        ledger.started(progress)
        ledger.failed(progress, 0.0)
        assert progress.result is None
    ledger.started(progress)
    ledger.failed(progress, 0.0)
    assert progress.result == JobResult(item_id="i0", completed=False)


def test_failed_reward_calls_count_against_the_reward_route_and_not_the_items():
    # Found on the register's quiet day: the job's route allowed 3, the reward's 4.
    ledger = JobLedger(make_job(reward=True), max_failures=3)
    finish(ledger, "i0")
    progress = ledger.items["i0"]
    assert progress.phase is ItemPhase.SCORING
    assert ledger.reward_failed(progress, 3, max_failures=4)
    assert progress.result is None
    assert not ledger.reward_failed(progress, 1, max_failures=4)
    assert progress.result == JobResult(item_id="i0", completed=False)


def test_broken_runs_do_not_count_as_failures():
    ledger = JobLedger(make_job(), max_failures=1)
    progress = ledger.items["i0"]
    for _ in range(10):
        ledger.started(progress)
        ledger.broke(progress, "t", 0.0)
    assert progress.result is None
    assert progress.avoid == "t"


def test_nothing_starts_once_the_job_is_ended():
    ledger = JobLedger(make_job())
    ledger.end()
    assert ledger.waiting(100.0) == []


def test_an_item_with_a_position_is_done_with():
    ledger = JobLedger(make_job())
    finish(ledger, "i0")
    ledger.appended(*ledger.next_segment())
    progress = ledger.items["i0"]
    assert progress.phase is ItemPhase.LISTED
    assert progress.pieces == []
    assert "i0" not in [item.item.item_id for item in ledger.waiting(100.0)]


def test_a_run_that_broke_or_failed_waits_a_moment():
    for end in ("broke", "failed"):
        ledger = JobLedger(make_job(1))
        progress = ledger.items["i0"]
        ledger.started(progress)
        if end == "broke":
            ledger.broke(progress, "e", 10.0)
        else:
            ledger.failed(progress, 10.0)
        assert ledger.waiting(10.0) == []
        assert ledger.waiting(10.0 + RETRY_PAUSE_SECONDS) == [progress]


def test_an_item_that_has_ended_cannot_be_given_up():
    ledger = JobLedger(make_job(1))
    finish(ledger, "i0")
    ledger.give_up(ledger.items["i0"])
    [result] = ledger.next_segment()[1]
    assert result.completed


def test_a_piece_of_a_version_that_is_too_old_is_not_taken():
    progress = JobLedger(make_job(1)).items["i0"]
    assert progress.accept(TextPiece(1, "a", 3), 4) is not None
    assert progress.pieces == []
    assert progress.accept(TextPiece(1, "a", 4), 4) is None


@pytest.mark.parametrize(
    ("job", "words"),
    [
        (make_job(0), "`items` is empty"),
        (msgspec.structs.replace(make_job(1), items=(make_item(0), make_item(0))), "stands twice"),
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
def test_a_job_that_cannot_be_taken_names_the_field(job, words):
    assert words in check_job(job)


def test_a_proper_job_is_taken():
    assert check_job(make_job()) is None


@pytest.mark.parametrize("end", ["broke", "failed", "postponed", "whole"])
def test_a_run_that_ends_after_its_item_was_listed_by_another_owner_changes_nothing(end):
    ledger = JobLedger(make_job(items=1, reward=True))
    (progress,) = ledger.items.values()
    ledger.started(progress)
    listed = JobResult(item_id=progress.item.item_id, completed=True, text="a", versions=(1,))
    ledger.appended(0, [listed])
    ends = {
        "broke": lambda: ledger.broke(progress, "e0", 0.0),
        "failed": lambda: ledger.failed(progress, 0.0),
        "postponed": lambda: ledger.postponed(progress, 0.0),
        "whole": lambda: ledger.whole(progress),
    }
    ends[end]()
    assert progress.phase is ItemPhase.LISTED
    assert ledger.waiting(1.0) == []
    assert not ledger.has_pending
