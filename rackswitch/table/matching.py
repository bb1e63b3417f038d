"""Lookup of a request's route by host and path."""

from dataclasses import dataclass, field

from rackswitch.table.edits import TableDocument
from rackswitch.table.rows import RouteRow

__all__ = ["RouteIndex", "index_routes"]


@dataclass(frozen=True, slots=True)
class RouteIndex:
    """The routes of a table by host, longest path prefix first."""

    by_host: dict[str, tuple[RouteRow, ...]] = field(default_factory=dict)

    def find(self, host: str, path: str) -> RouteRow | None:
        """Return the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            The ``Host`` header; port and case are ignored.
        path : str
            The path without the query.
        """
        hostname = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self.by_host.get(hostname.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_routes(document: TableDocument) -> RouteIndex:
    """Return the index of the routes that have a host."""
    by_host: dict[str, list[RouteRow]] = {}
    for stored in document.rows.values():
        row = stored.row
        if isinstance(row, RouteRow) and row.host:
            by_host.setdefault(row.host.lower(), []).append(row)
    routes_by_host = {
        host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
        for host, routes in by_host.items()
    }
    return RouteIndex(routes_by_host)
