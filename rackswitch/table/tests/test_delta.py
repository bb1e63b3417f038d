"""A delta brings an older table to exactly the newer one."""

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

STEPS = st.lists(st.tuples(st.integers(0, 4), st.booleans()), min_size=1, max_size=25)


def history(steps):
    """Return the table after each of a series of puts and removals."""
    tables = [TableDocument()]
    for number, (row, removes) in enumerate(steps):
        change = RowChange(row=DaemonRow(name=f"d{row}", draining=bool(number % 2)))
        if removes and f"daemon/d{row}" in tables[-1].rows:
            change = RowChange(remove=f"daemon/d{row}")
        edit = Edit(edit_id=str(number), operator="o", at_unix_seconds=0.0, changes=(change,))
        outcome = apply_edit(tables[-1], edit)
        assert isinstance(outcome, EditAccepted)
        tables.append(outcome.document)
    return tables


@given(STEPS, st.data())
def test_any_older_table_becomes_the_newest(steps, data):
    tables = history(steps)
    older = tables[data.draw(st.integers(1, len(tables) - 1))]
    delta = delta_since(tables[-1], older.revision)
    assert apply_delta(older, delta, REMEMBERED_EDITS) == tables[-1]


@given(STEPS)
def test_a_delta_for_another_table_is_not_applied(steps):
    tables = history(steps)
    delta = delta_since(tables[-1], 1)
    assert apply_delta(TableDocument(revision=99), delta, REMEMBERED_EDITS) is None


def test_a_history_that_is_too_short_asks_for_the_whole_table():
    newest = history([(1, False)] * (REMEMBERED_EDITS + 3))[-1]
    assert delta_since(newest, 1) is None
    assert delta_since(newest, 0) is None
    assert delta_since(newest, newest.revision - 1) is not None
