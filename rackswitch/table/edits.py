"""Validation and application of table edits.

The functions have no side effects. A daemon reads the document from the key-value
service, applies the edit, and writes the result back with a compare-and-swap.
"""

import msgspec

from rackswitch.table.rows import (
    ModelRow,
    OperatorRow,
    RouteRow,
    Row,
    RowKey,
    TargetRow,
    TenantRow,
    TrainerRow,
    row_key,
)
from rackswitch.table.shared_keys import shared_key

__all__ = [
    "REMEMBERED_EDITS",
    "Edit",
    "EditAccepted",
    "EditConflict",
    "EditDone",
    "EditInvalid",
    "EditOutcome",
    "RememberedEdit",
    "RowChange",
    "StoredRow",
    "TableDocument",
    "apply_edit",
    "check_rows",
]

REMEMBERED_EDITS = 512
"""Number of recent edit ids kept, so that a retried edit is not applied twice."""

OPERATOR_ROLES = ("read", "edit", "admin")
TARGET_PROTOCOLS = ("openai", "plain", "scorer")


class StoredRow(msgspec.Struct, frozen=True):
    """A row and the table revision that last changed it (its entity tag)."""

    revision: int
    row: Row


class RememberedEdit(msgspec.Struct, frozen=True):
    """An accepted edit in the table's history."""

    edit_id: str
    revision: int
    operator: str
    at_unix_seconds: float
    keys: tuple[RowKey, ...]


class TableDocument(msgspec.Struct, frozen=True):
    """The complete table as it is stored in the key-value service."""

    revision: int = 0
    rows: dict[RowKey, StoredRow] = {}
    edits: tuple[RememberedEdit, ...] = ()


class RowChange(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Puts or removes one row if it is at `if_revision` (0: absent; None: any revision)."""

    row: Row | None = None
    remove: RowKey | None = None
    if_revision: int | None = None

    @property
    def key(self) -> RowKey:
        """The key of the changed row."""
        return row_key(self.row) if self.row is not None else (self.remove or "")


class Edit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Changes that are accepted or rejected as one unit."""

    edit_id: str
    operator: str
    at_unix_seconds: float
    changes: tuple[RowChange, ...]


class EditAccepted(msgspec.Struct, frozen=True):
    """The edit is valid; `document` is the table to write."""

    document: TableDocument


class EditDone(msgspec.Struct, frozen=True):
    """The edit was already applied, at `revision`."""

    revision: int


class EditConflict(msgspec.Struct, frozen=True):
    """The row is not at the expected revision; `present` is its current state."""

    key: RowKey
    present: StoredRow | None


class EditInvalid(msgspec.Struct, frozen=True):
    """The edit would produce an invalid table."""

    key: RowKey
    field: str
    detail: str


EditOutcome = EditAccepted | EditDone | EditConflict | EditInvalid


def apply_edit(document: TableDocument, edit: Edit) -> EditOutcome:
    """Apply an edit to the table.

    Parameters
    ----------
    document : TableDocument
        The table before the edit.
    edit : Edit
        The changes and the id that makes retries idempotent.

    Returns
    -------
    EditOutcome
        The new document, or the reason for the rejection.
    """
    for earlier_edit in document.edits:
        if earlier_edit.edit_id == edit.edit_id:
            return EditDone(earlier_edit.revision)
    revision = document.revision + 1
    rows = dict(document.rows)
    for change in edit.changes:
        rejection = _apply_change(rows, change, revision)
        if rejection is not None:
            return rejection
    invalid = check_rows([stored.row for stored in rows.values()])
    if invalid is not None:
        return invalid
    history_entry = RememberedEdit(
        edit_id=edit.edit_id,
        revision=revision,
        operator=edit.operator,
        at_unix_seconds=edit.at_unix_seconds,
        keys=tuple(change.key for change in edit.changes),
    )
    recent_edits = (*document.edits, history_entry)[-REMEMBERED_EDITS:]
    return EditAccepted(TableDocument(revision=revision, rows=rows, edits=recent_edits))


def _apply_change(
    rows: dict[RowKey, StoredRow], change: RowChange, revision: int
) -> EditConflict | EditInvalid | None:
    if (change.row is None) == (change.remove is None):
        return EditInvalid(change.key, "row", "exactly one of `row` and `remove` is required")
    present = rows.get(change.key)
    present_revision = present.revision if present is not None else 0
    if change.if_revision is not None and change.if_revision != present_revision:
        return EditConflict(change.key, present)
    if change.row is not None:
        rows[change.key] = StoredRow(revision, change.row)
    elif present is None:
        return EditConflict(change.key, None)
    else:
        del rows[change.key]
    return None


def check_rows(rows: list[Row]) -> EditInvalid | None:
    """Return the first invalid row and field, or None if the table is valid."""
    served_names = {row.serves for row in rows if isinstance(row, TargetRow) and not row.draining}
    model_names = {row.name for row in rows if isinstance(row, ModelRow)}
    for row in rows:
        error = _check_row(row, served_names, model_names)
        if error is not None:
            return error
    sharing_tenants = shared_key(row for row in rows if isinstance(row, TenantRow))
    if sharing_tenants is not None:
        return EditInvalid(
            f"tenant/{sharing_tenants[1]}",
            "key_sha256",
            f"the key is held by {sharing_tenants[0]!r} too",
        )
    return None


def _check_row(row: Row, served_names: set[str], model_names: set[str]) -> EditInvalid | None:
    key = row_key(row)
    if isinstance(row, RouteRow):
        return _check_route(key, row, served_names)
    if isinstance(row, TrainerRow):
        if row.model not in model_names:
            return EditInvalid(key, "model", f"unknown model {row.model!r}")
        if row.scorer is not None and row.scorer not in served_names:
            return EditInvalid(key, "scorer", f"no target serves {row.scorer!r}")
        if row.idle_weight + row.staleness_weight <= 0:
            return EditInvalid(key, "idle_weight", "both weights are zero")
    if isinstance(row, OperatorRow) and row.role not in OPERATOR_ROLES:
        return EditInvalid(key, "role", f"not one of {', '.join(OPERATOR_ROLES)}")
    if isinstance(row, TargetRow) and row.protocol not in TARGET_PROTOCOLS:
        return EditInvalid(key, "protocol", f"not one of {', '.join(TARGET_PROTOCOLS)}")
    return None


def _check_route(key: RowKey, row: RouteRow, served_names: set[str]) -> EditInvalid | None:
    if sum(choice.weight for choice in row.choices) <= 0:
        return EditInvalid(key, "choices", "the weights sum to zero")
    for index, choice in enumerate(row.choices):
        field = f"choices[{index}]"
        if choice.serves not in served_names:
            return EditInvalid(key, f"{field}.serves", f"no target serves {choice.serves!r}")
        if choice.newest_version is not None and choice.newest_version < choice.oldest_version:
            return EditInvalid(key, f"{field}.newest_version", "less than oldest_version")
    return None
