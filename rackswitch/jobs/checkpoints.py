"""Unfinished texts that a job's next owner goes on with, in place of making them again.

A text may be gone on with only where its former run has surely ended: two engines must
not work on one item, and a former owner that was cut off may still have it run. So a
checkpoint names the process that wrote it, and whether that process had stopped the runs.
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
"""Texts kept of one job. A value holds 1 MiB, and bytes between zones are paid for; the
longest texts, which decide when a step is whole, go first."""


class ItemCheckpoint(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is there of one item.

    Attributes
    ----------
    pieces, versions : tuple
        The text so far, and the weights that made it, in order of appearance.
    is_whole : bool
        Whether only the reward call is missing.
    result : JobResult or None
        The item's end, if it has no position yet.
    """

    item_id: str
    pieces: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    failures: int = 0
    reward_failures: int = 0
    is_whole: bool = False
    result: JobResult | None = None


class JobCheckpoint(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The unfinished items of a job, as one owner left them.

    Attributes
    ----------
    daemon, process_started_unix_seconds : str, float
        The process that wrote it.
    runs_ended : bool
        Whether that process had stopped the items' runs before.
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
    """Return what is worth keeping of a job's unfinished items, longest texts first.

    Parameters
    ----------
    ledger : JobLedger
        The job.
    min_pieces : int
        Shorter texts are left out: they are made again as fast as they are read back.
    max_characters : int, optional
        What the texts may have together.
    """
    unfinished = [item for item in ledger.items.values() if item.phase is not ItemPhase.LISTED]
    unfinished.sort(key=lambda item: -item.last_number)
    chosen: list[ItemCheckpoint] = []
    characters = 0
    for progress in unfinished:
        worth = progress.last_number >= min_pieces or progress.result is not None
        if not worth and not progress.failures and not progress.reward_failures:
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
        is_whole=progress.phase is ItemPhase.SCORING,
        result=progress.result,
    )


def may_resume_from(checkpoint: JobCheckpoint, process_start: float | None) -> bool:
    """Return whether the runs behind a checkpoint have surely ended.

    Parameters
    ----------
    checkpoint : JobCheckpoint
        As the former owner left it.
    process_start : float or None
        When the former owner's present process began, by that daemon's own word; None if it
        has told nothing.
    """
    if checkpoint.runs_ended:
        return True
    return process_start not in (None, checkpoint.process_started_unix_seconds)


def merge_checkpoints(earlier: JobCheckpoint, later: JobCheckpoint) -> JobCheckpoint:
    """Return the later of two checkpoints of one process, with the earlier one's results.

    A result that is missing in the later one was being appended in between, which may have failed:
    its item would be run again.
    """
    told = {item.item_id for item in later.items}
    results = [
        item for item in earlier.items if item.result is not None and item.item_id not in told
    ]
    return msgspec.structs.replace(later, items=(*later.items, *results))


def restore_items(ledger: JobLedger, items: tuple[ItemCheckpoint, ...]) -> int:
    """Take unfinished texts over into a new owner's ledger; return how many."""
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
            ledger.take_result(progress, checkpoint.result)
        elif checkpoint.is_whole:
            ledger.whole(progress)
    return restored
