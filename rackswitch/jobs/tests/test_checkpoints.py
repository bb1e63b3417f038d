import pytest

from rackswitch.jobs import (
    ItemPhase,
    JobCheckpoint,
    JobLedger,
    JobResult,
    TextPiece,
    checkpoint_items,
    may_resume_from,
    restore_items,
)
from rackswitch.jobs.checkpoints import MAX_CHECKPOINT_CHARACTERS
from rackswitch.jobs.tests.support import finish, make_job


def produce_pieces(ledger: JobLedger, item_id: str, count: int, text: str = "a") -> None:
    """Let an item's run produce this many pieces and continue."""
    progress = ledger.items[item_id]
    if progress.phase is ItemPhase.WAITING:
        ledger.record_start(progress)
    for _ in range(count):
        assert progress.accept(TextPiece(progress.last_number + 1, text, 1), 0) is None


def successor_of(ledger: JobLedger, min_pieces: int = 1) -> JobLedger:
    successor = JobLedger(ledger.job, list(ledger.listed))
    restore_items(successor, checkpoint_items(ledger, min_pieces))
    return successor


def test_successor_continues_after_the_last_piece():
    ledger = JobLedger(make_job())
    produce_pieces(ledger, "i1", 3)
    progress = successor_of(ledger).items["i1"]
    assert progress.phase is ItemPhase.WAITING
    assert progress.last_number == 3
    assert progress.versions == [1]
    assert progress.accept(TextPiece(4, "b", 2), 0) is None
    assert progress.text() == "a\na\na\nb"


def test_complete_text_without_a_score_is_not_generated_again():
    ledger = JobLedger(make_job(reward=True))
    produce_pieces(ledger, "i1", 3)
    ledger.record_complete_text(ledger.items["i1"])
    successor = successor_of(ledger)
    assert successor.items["i1"].phase is ItemPhase.SCORING
    successor.record_score(successor.items["i1"], "s")
    assert successor.next_segment()[1][0].text == "a\na\na"


def test_result_without_a_position_is_restored_and_listed_once():
    ledger = JobLedger(make_job())
    finish(ledger, "i0")
    ledger.give_up(ledger.items["i1"])
    successor = successor_of(ledger)
    position, segment = successor.next_segment()
    assert position == 0
    assert {result.item_id: result.completed for result in segment} == {"i0": True, "i1": False}


def test_listed_item_is_not_restored():
    ledger = JobLedger(make_job())
    produce_pieces(ledger, "i1", 3)
    checkpoints = checkpoint_items(ledger, 1)
    listed = [JobResult(item_id="i1", completed=True, text="a\na\na\na", versions=(1,))]
    successor = JobLedger(ledger.job, listed)
    assert restore_items(successor, checkpoints) == 0
    assert successor.items["i1"].phase is ItemPhase.LISTED


def test_failure_counts_are_restored_without_a_text():
    ledger = JobLedger(make_job())
    progress = ledger.items["i2"]
    ledger.record_start(progress)
    ledger.record_failure(progress, 0.0)
    ledger.record_reward_failures(progress, 2, 4)
    restored = successor_of(ledger, 24).items["i2"]
    assert restored.failures == 1
    assert restored.reward_failures == 2


def test_texts_of_exactly_the_maximum_length_are_stored():
    ledger = JobLedger(make_job())
    produce_pieces(ledger, "i0", 2, "x" * (MAX_CHECKPOINT_CHARACTERS // 2))
    assert [item.item_id for item in checkpoint_items(ledger, 1)] == ["i0"]


def test_short_texts_are_omitted_and_the_longest_go_first():
    ledger = JobLedger(make_job())
    produce_pieces(ledger, "i0", 2)
    produce_pieces(ledger, "i1", 30, "x" * (MAX_CHECKPOINT_CHARACTERS // 50))
    produce_pieces(ledger, "i2", 31, "x" * (MAX_CHECKPOINT_CHARACTERS // 50))
    checkpoints = checkpoint_items(ledger, 24)
    assert [item.item_id for item in checkpoints] == ["i2"]
    assert [item.item_id for item in checkpoint_items(JobLedger(make_job()), 0)] == [
        "i0", "i1", "i2", "i3",
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("runs_ended", "starts", "may"),
    [
        (True, {}, True),
        (False, {}, False),
        # The process that wrote it may still run the items without contact to the store.
        (False, {"a": 5.0}, False),
        (False, {"a": 6.0}, True),
        (False, {"b": 6.0}, False),
    ],
)
def test_texts_are_resumed_only_if_their_runs_have_surely_ended(runs_ended, starts, may):
    checkpoint = JobCheckpoint(
        daemon="a", process_started_unix_seconds=5.0, runs_ended=runs_ended, items=()
    )
    assert may_resume_from(checkpoint, starts.get("a")) is may
