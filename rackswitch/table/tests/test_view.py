"""The current table is never replaced by an older one."""

import hypothesis.strategies as st
from hypothesis import given

from rackswitch.table import (
    FleetRow,
    ModelRow,
    RouteChoice,
    RouteRow,
    Row,
    StoredRow,
    TableDocument,
    TableView,
    TargetRow,
    TenantRow,
    choose_watchers,
    row_key,
)


@given(st.lists(st.integers(1, 20), max_size=30))
def test_view_holds_the_newest_table_offered(revisions):
    view = TableView()
    newest = 0
    for revision in revisions:
        document = TableDocument(revision=revision)
        was_replaced = view.replace_if_newer(document)
        assert was_replaced == (revision > newest)
        newest = max(newest, revision)
        assert view.revision == newest
        assert (view.document is document) == was_replaced


def test_confirmation_applies_to_the_current_revision_until_its_deadline():
    view = TableView()
    view.replace_if_newer(TableDocument(revision=3))
    assert not view.is_confirmed(1.0)
    view.confirm(2, 100.0)
    assert not view.is_confirmed(1.0)
    view.confirm(3, 10.0)
    view.confirm(3, 5.0)
    assert view.is_confirmed(9.9)
    assert not view.is_confirmed(10.0)


def view_of(*rows: Row) -> TableView:
    view = TableView()
    view.replace_if_newer(TableDocument(1, {row_key(row): StoredRow(1, row) for row in rows}))
    return view


def test_rows_are_found_by_kind_and_name():
    model, fleet = ModelRow(name="m"), FleetRow(name="m")
    view = view_of(model, fleet)
    assert view.row(ModelRow, "m") == model
    assert view.row(FleetRow, "m") == fleet
    assert view.row(ModelRow, "other") is None
    assert list(view.rows(ModelRow)) == [model]


def test_targets_excludes_draining_targets():
    rows = [
        TargetRow(name=name, url="http://t", zone="z", serves=serves, draining=draining)
        for name, serves, draining in (("a", "m", False), ("b", "m", True), ("c", "n", False))
    ]
    assert [row.name for row in view_of(*rows).targets("m")] == ["a"]


def test_chooses_watchers_per_zone():
    live = [("d3", "x"), ("d1", "x"), ("d2", "x"), ("e1", "y")]
    assert choose_watchers(live, 2) == {"d1", "d2", "e1"}
    assert choose_watchers(live, 1) == {"d1", "e1"}


def test_a_list_of_regions_at_any_route_or_tenant_restricts_the_table():
    """Store calls are relayed within the region only while such a list is in force."""
    route = RouteRow(name="r", choices=(RouteChoice(serves="s"),))
    restricted_route = RouteRow(
        name="r", choices=(RouteChoice(serves="s"),), allowed_regions=("north",)
    )
    tenants = [TenantRow(name="t"), TenantRow(name="t", allowed_regions=("north",))]
    view = TableView()
    assert not view.restricts_regions
    tables = [(route, tenants[0]), (route, tenants[1]), (restricted_route, tenants[0])]
    for revision, rows in enumerate([*tables, tables[0]], start=1):
        stored = {row_key(row): StoredRow(revision, row) for row in rows}
        view.replace_if_newer(TableDocument(revision, stored))
        assert view.restricts_regions is (revision in (2, 3))
