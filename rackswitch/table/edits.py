"""Accepting an edit: identity, conditions, checks and the new document.

Everything here is pure. A daemon reads the document from the key-value
service, applies the edit, and writes the result back on the condition that
nobody else has written meanwhile.
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
"""Edits whose identity is kept, so that a retry is not applied twice."""

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
    """The whole table as it is kept in the key-value service."""

    revision: int = 0
    rows: dict[RowKey, StoredRow] = {}
    edits: tuple[RememberedEdit, ...] = ()


class RowChange(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Put or remove one row, if it is still at `if_revision` (0: absent; None: any)."""

    row: Row | None = None
    remove: RowKey | None = None
    if_revision: int | None = None

    @property
    def key(self) -> RowKey:
        """The key of the row that changes."""
        return row_key(self.row) if self.row is not None else (self.remove or "")


class Edit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Changes that are accepted all together or not at all."""

    edit_id: str
    operator: str
    at_unix_seconds: float
    changes: tuple[RowChange, ...]


class EditAccepted(msgspec.Struct, frozen=True):
    """The edit fits; `document` is to be written."""

    document: TableDocument


class EditDone(msgspec.Struct, frozen=True):
    """The edit was applied before, at `revision`."""

    revision: int


class EditConflict(msgspec.Struct, frozen=True):
    """Somebody changed the row first; `present` is the row as it stands."""

    key: RowKey
    present: StoredRow | None


class EditInvalid(msgspec.Struct, frozen=True):
    """The edit would make a table that cannot be served."""

    key: RowKey
    field: str
    detail: str


EditOutcome = EditAccepted | EditDone | EditConflict | EditInvalid


def apply_edit(document: TableDocument, edit: Edit) -> EditOutcome:
    """Apply an edit to the table.

    Parameters
    ----------
    document : TableDocument
        The table as last read.
    edit : Edit
        The change, with its own identity.

    Returns
    -------
    EditOutcome
        The new document, or why there is none.
    """
    for remembered in document.edits:
        if remembered.edit_id == edit.edit_id:
            return EditDone(remembered.revision)
    revision = document.revision + 1
    rows = dict(document.rows)
    for change in edit.changes:
        refusal = _apply_change(rows, change, revision)
        if refusal is not None:
            return refusal
    invalid = check_rows([stored.row for stored in rows.values()])
    if invalid is not None:
        return invalid
    entry = RememberedEdit(
        edit_id=edit.edit_id,
        revision=revision,
        operator=edit.operator,
        at_unix_seconds=edit.at_unix_seconds,
        keys=tuple(change.key for change in edit.changes),
    )
    kept = (*document.edits, entry)[-REMEMBERED_EDITS:]
    return EditAccepted(TableDocument(revision=revision, rows=rows, edits=kept))


def _apply_change(
    rows: dict[RowKey, StoredRow], change: RowChange, revision: int
) -> EditConflict | EditInvalid | None:
    if (change.row is None) == (change.remove is None):
        return EditInvalid(change.key, "row", "give exactly one of `row` and `remove`")
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
    """Return the first row and field that make the table unservable, or None."""
    served = {row.serves for row in rows if isinstance(row, TargetRow) and not row.draining}
    models = {row.name for row in rows if isinstance(row, ModelRow)}
    for row in rows:
        fault = _check_row(row, served, models)
        if fault is not None:
            return fault
    holders = shared_key(row for row in rows if isinstance(row, TenantRow))
    if holders is not None:
        return EditInvalid(f"tenant/{holders[1]}", "key_sha256", f"a key of {holders[0]!r} too")
    return None


def _check_row(row: Row, served: set[str], models: set[str]) -> EditInvalid | None:
    key = row_key(row)
    if isinstance(row, RouteRow):
        return _check_route(key, row, served)
    if isinstance(row, TrainerRow):
        if row.model not in models:
            return EditInvalid(key, "model", f"unknown model {row.model!r}")
        if row.scorer is not None and row.scorer not in served:
            return EditInvalid(key, "scorer", f"no target serves {row.scorer!r}")
        if row.idle_weight + row.staleness_weight <= 0:
            return EditInvalid(key, "idle_weight", "both weights are zero")
    if isinstance(row, OperatorRow) and row.role not in OPERATOR_ROLES:
        return EditInvalid(key, "role", f"not one of {', '.join(OPERATOR_ROLES)}")
    if isinstance(row, TargetRow) and row.protocol not in TARGET_PROTOCOLS:
        return EditInvalid(key, "protocol", f"not one of {', '.join(TARGET_PROTOCOLS)}")
    return None


def _check_route(key: RowKey, row: RouteRow, served: set[str]) -> EditInvalid | None:
    if sum(choice.weight for choice in row.choices) <= 0:
        return EditInvalid(key, "choices", "the weights sum to nothing")
    for index, choice in enumerate(row.choices):
        field = f"choices[{index}]"
        if choice.serves not in served:
            return EditInvalid(key, f"{field}.serves", f"no target serves {choice.serves!r}")
        if choice.newest_version is not None and choice.newest_version < choice.oldest_version:
            return EditInvalid(key, f"{field}.newest_version", "below oldest_version")
    return None
