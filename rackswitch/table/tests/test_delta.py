"""Applying a delta to an older table gives exactly the newer one."""

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.table import (
    REMEMBERED_EDITS,
    DaemonRow,
    Edit,
    EditAccepted,
    RowChange,
    TableDocument,
    apply_delta,
    apply_edit,
    delta_since,
)

EDIT_STEPS = st.lists(st.tuples(st.integers(0, 4), st.booleans()), min_size=1, max_size=25)


def tables_after(steps):
    """Return the table after each put or removal."""
    tables = [TableDocument()]
    for number, (row_number, is_removal) in enumerate(steps):
        change = RowChange(row=DaemonRow(name=f"d{row_number}", draining=bool(number % 2)))
        if is_removal and f"daemon/d{row_number}" in tables[-1].rows:
            change = RowChange(remove=f"daemon/d{row_number}")
        edit = Edit(edit_id=str(number), operator="o", at_unix_seconds=0.0, changes=(change,))
        outcome = apply_edit(tables[-1], edit)
        assert isinstance(outcome, EditAccepted)
        tables.append(outcome.document)
    return tables


@given(EDIT_STEPS, st.data())
def test_delta_updates_any_older_table_to_the_newest(steps, data):
    tables = tables_after(steps)
    older = tables[data.draw(st.integers(1, len(tables) - 1))]
    delta = delta_since(tables[-1], older.revision)
    assert apply_delta(older, delta, REMEMBERED_EDITS) == tables[-1]


@given(EDIT_STEPS)
def test_delta_for_another_revision_is_not_applied(steps):
    tables = tables_after(steps)
    delta = delta_since(tables[-1], 1)
    assert apply_delta(TableDocument(revision=99), delta, REMEMBERED_EDITS) is None


def test_no_delta_when_the_history_is_too_short():
    newest = tables_after([(1, False)] * (REMEMBERED_EDITS + 3))[-1]
    assert delta_since(newest, 1) is None
    assert delta_since(newest, 0) is None
    assert delta_since(newest, newest.revision - 1) is not None
