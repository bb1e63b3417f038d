"""Differences between two revisions of the table, for daemons that hold the older one."""

import msgspec

from rackswitch.table.edits import RememberedEdit, StoredRow, TableDocument
from rackswitch.table.rows import RowKey

__all__ = ["TableDelta", "apply_delta", "delta_since"]


class TableDelta(msgspec.Struct, frozen=True):
    """The rows changed after a revision; None marks a removed row."""

    from_revision: int
    to_revision: int
    rows: dict[RowKey, StoredRow | None]
    edits: tuple[RememberedEdit, ...]


def delta_since(document: TableDocument, revision: int) -> TableDelta | None:
    """Return the changes that a daemon at `revision` lacks.

    Returns
    -------
    TableDelta or None
        None if the table's history does not reach back to `revision`; the complete table
        must be sent then.
    """
    newer_edits = tuple(edit for edit in document.edits if edit.revision > revision)
    if revision <= 0 or len(newer_edits) != document.revision - revision:
        return None
    changed_keys = {key for edit in newer_edits for key in edit.keys}
    rows = {key: document.rows.get(key) for key in sorted(changed_keys)}
    return TableDelta(revision, document.revision, rows, newer_edits)


def apply_delta(
    document: TableDocument, delta: TableDelta, remembered_edits: int
) -> TableDocument | None:
    """Return the updated table, or None if the delta starts from another revision."""
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
