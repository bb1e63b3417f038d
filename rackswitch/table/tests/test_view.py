"""A table in force is never replaced by an older one."""

import hypothesis.strategies as st
from hypothesis import given

from rackswitch.table import TableDocument, TableView


@given(st.lists(st.integers(1, 20), max_size=30))
def test_the_newest_table_offered_so_far_is_in_force(revisions):
    view = TableView()
    newest = 0
    for revision in revisions:
        document = TableDocument(revision=revision)
        taken = view.offer(document)
        assert taken == (revision > newest)
        newest = max(newest, revision)
        assert view.revision == newest
        assert (view.document is document) == taken


def test_a_confirmation_counts_for_the_revision_in_force_and_until_its_deadline():
    view = TableView()
    view.offer(TableDocument(revision=3))
    assert not view.is_confirmed(1.0)
    view.confirm(2, 100.0)
    assert not view.is_confirmed(1.0)
    view.confirm(3, 10.0)
    view.confirm(3, 5.0)
    assert view.is_confirmed(9.9)
    assert not view.is_confirmed(10.0)
