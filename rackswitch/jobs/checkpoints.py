"""Unfinished texts that a job's next owner continues instead of generating them again.

A text may be continued only once its former run has surely ended: two engines must not work on one
item, and a former owner that lost contact may still run it. So a checkpoint names the process that
wrote it, and states whether that process had stopped the runs.
"""

import msgspec

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.messages import JobResult
from rackswitch.jobs.progress import ItemPhase, ItemProgress

__all__ = [
    "ItemCheckpoint",
    "JobCheckpoint",
    "checkpoint_items",
    "may_resume_from",
    "merge_checkpoints",
    "restore_items",
]

MAX_CHECKPOINT_CHARACTERS = 300_000
"""Maximum total length of one job's stored texts. A value is limited to 1 MiB, and traffic
between zones is paid for. The longest texts, which decide when a step is complete, go first."""


class ItemCheckpoint(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The stored progress of one item.

    Attributes
    ----------
    pieces, versions : tuple
        The text so far, and the versions that generated it, in order of first use.
    is_complete_text : bool
        Whether the text is complete and only the reward call is missing.
    result : JobResult or None
        The item's result, if it has no position yet.
    """

    item_id: str
    pieces: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    failures: int = 0
    reward_failures: int = 0
    is_complete_text: bool = False
    result: JobResult | None = None


class JobCheckpoint(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The unfinished items of a job, as one owner stored them.

    Attributes
    ----------
    daemon, process_started_unix_seconds : str, float
        The process that wrote it.
    runs_ended : bool
        Whether that process had already stopped the items' runs.
    """

    daemon: str
    process_started_unix_seconds: float
    runs_ended: bool
    items: tuple[ItemCheckpoint, ...]


def checkpoint_items(
    ledger: JobLedger,
    min_pieces: int,
    max_characters: int = MAX_CHECKPOINT_CHARACTERS,
) -> tuple[ItemCheckpoint, ...]:
    """Return checkpoints of a job's unfinished items, longest texts first.

    Parameters
    ----------
    ledger : JobLedger
        The job's ledger.
    min_pieces : int
        Shorter texts are omitted: generating them again is as fast as reading them.
    max_characters : int, optional
        Maximum total length of the texts.
    """
    unfinished = [item for item in ledger.items.values() if item.phase is not ItemPhase.LISTED]
    unfinished.sort(key=lambda item: -item.last_number)
    chosen: list[ItemCheckpoint] = []
    characters = 0
    for progress in unfinished:
        has_value = progress.last_number >= min_pieces or progress.result is not None
        if not has_value and not progress.failures and not progress.reward_failures:
            continue
        checkpoint = _checkpoint(progress)
        characters += sum(len(piece) for piece in checkpoint.pieces)
        if characters > max_characters:
            break
        chosen.append(checkpoint)
    return tuple(chosen)


def _checkpoint(progress: ItemProgress) -> ItemCheckpoint:
    return ItemCheckpoint(
        item_id=progress.item.item_id,
        pieces=tuple(progress.pieces),
        versions=tuple(progress.versions),
        failures=progress.failures,
        reward_failures=progress.reward_failures,
        is_complete_text=progress.phase is ItemPhase.SCORING,
        result=progress.result,
    )


def may_resume_from(checkpoint: JobCheckpoint, process_start: float | None) -> bool:
    """Return whether the runs of a checkpoint have surely ended.

    Parameters
    ----------
    checkpoint : JobCheckpoint
        The former owner's checkpoint.
    process_start : float or None
        When the former owner's present process started, as reported by that daemon; None if it has
        reported nothing.
    """
    if checkpoint.runs_ended:
        return True
    return process_start not in (None, checkpoint.process_started_unix_seconds)


def merge_checkpoints(earlier: JobCheckpoint, later: JobCheckpoint) -> JobCheckpoint:
    """Return the later of two checkpoints of one process, with the earlier one's results added.

    A result missing in the later one was being appended in between. The append may have failed, and
    without the result its item would run again.
    """
    later_ids = {item.item_id for item in later.items}
    results = [
        item for item in earlier.items if item.result is not None and item.item_id not in later_ids
    ]
    return msgspec.structs.replace(later, items=(*later.items, *results))


def restore_items(ledger: JobLedger, items: tuple[ItemCheckpoint, ...]) -> int:
    """Restore unfinished texts into a new owner's ledger; return how many."""
    restored = 0
    for checkpoint in items:
        progress = ledger.items.get(checkpoint.item_id)
        if progress is None or progress.result is not None or progress.pieces:
            continue
        restored += 1
        progress.pieces = list(checkpoint.pieces)
        progress.versions = list(checkpoint.versions)
        progress.failures = checkpoint.failures
        progress.reward_failures = checkpoint.reward_failures
        if checkpoint.result is not None:
            ledger.record_result(progress, checkpoint.result)
        elif checkpoint.is_complete_text:
            ledger.record_complete_text(progress)
    return restored
