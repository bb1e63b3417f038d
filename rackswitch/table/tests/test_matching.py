import pytest

from rackswitch.table import (
    ModelRow,
    RouteChoice,
    RouteRow,
    StoredRow,
    TableDocument,
    index_routes,
    row_key,
)


def route(name: str, host: str, prefix: str) -> RouteRow:
    return RouteRow(name=name, choices=(RouteChoice(serves="s"),), host=host, path_prefix=prefix)


ROWS = (
    route("short", "h.example", "/a/"),
    route("long", "h.example", "/a/b/"),
    route("other", "i.example", "/"),
    route("by-name", "", ""),
    ModelRow(name="m"),
)
INDEX = index_routes(TableDocument(1, {row_key(row): StoredRow(1, row) for row in ROWS}))


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/x", "short"),
        ("h.example", "/a/b/x", "long"),
        ("h.example", "/a/bx", "short"),
        ("H.Example:80", "/a/x", "short"),
        ("i.example", "/a/b/x", "other"),
        ("h.example", "/b/", None),
        ("h.example", "/a", None),
        ("j.example", "/a/", None),
        ("", "/a/", None),
    ],
)
def test_longest_matching_prefix_of_the_host_wins(host, path, name):
    found = INDEX.find(host, path)
    assert (found.name if found is not None else None) == name
