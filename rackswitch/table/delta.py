"""What changed between two revisions of the table, for daemons that have the older one."""

import msgspec

from rackswitch.table.edits import RememberedEdit, StoredRow, TableDocument
from rackswitch.table.rows import RowKey

__all__ = ["TableDelta", "apply_delta", "delta_since"]


class TableDelta(msgspec.Struct, frozen=True):
    """The rows touched after a revision; None stands for a row that is gone."""

    from_revision: int
    to_revision: int
    rows: dict[RowKey, StoredRow | None]
    edits: tuple[RememberedEdit, ...]


def delta_since(document: TableDocument, revision: int) -> TableDelta | None:
    """Return what a daemon at `revision` misses.

    Returns
    -------
    TableDelta or None
        None if the table's history does not reach back far enough; then the whole table
        has to be sent.
    """
    newer = tuple(edit for edit in document.edits if edit.revision > revision)
    if revision <= 0 or len(newer) != document.revision - revision:
        return None
    touched = {key for edit in newer for key in edit.keys}
    rows = {key: document.rows.get(key) for key in sorted(touched)}
    return TableDelta(revision, document.revision, rows, newer)


def apply_delta(
    document: TableDocument, delta: TableDelta, remembered_edits: int
) -> TableDocument | None:
    """Return the newer table, or None if the delta is not for this one."""
    if document.revision != delta.from_revision:
        return None
    rows = dict(document.rows)
    for key, stored in delta.rows.items():
        if stored is None:
            rows.pop(key, None)
        else:
            rows[key] = stored
    edits = (*document.edits, *delta.edits)[-remembered_edits:]
    return TableDocument(revision=delta.to_revision, rows=rows, edits=edits)
