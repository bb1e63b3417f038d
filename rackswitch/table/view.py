"""The table that a daemon currently uses, and its freshness."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from rackswitch.outcomes import check_invariant
from rackswitch.table.edits import TableDocument
from rackswitch.table.rows import RouteRow, TargetRow, TenantRow

__all__ = ["TableView", "choose_watchers"]

RowT = TypeVar("RowT")


@dataclass(slots=True)
class TableView:
    """The newest table that this daemon has received; its revision never decreases.

    Attributes
    ----------
    confirmed_until_seconds : float
        Monotonic time until which the table counts as confirmed by the service.
    """

    document: TableDocument = field(default_factory=TableDocument)
    confirmed_until_seconds: float = float("-inf")
    # The revision for which `restricts_regions` was computed last, and its value.
    _restricts_regions: tuple[int, bool] = (0, False)

    @property
    def revision(self) -> int:
        """The current revision; 0 if there is no table."""
        return self.document.revision

    def replace_if_newer(self, document: TableDocument) -> bool:
        """Replace the table if `document` is newer; return whether it was."""
        if document.revision <= self.revision:
            return False
        previous = self.revision
        self.document = document
        check_invariant(self.revision > previous, "a table revision never decreases")
        return True

    def confirm(self, revision: int, until_seconds: float) -> None:
        """Record that `revision` was current in the service, valid until a deadline.

        A confirmation of a revision other than the current one is ignored.
        """
        if revision == self.revision:
            self.confirmed_until_seconds = max(self.confirmed_until_seconds, until_seconds)

    def is_confirmed(self, now_seconds: float) -> bool:
        """Return whether the last confirmation of the table is still valid."""
        return self.revision > 0 and now_seconds < self.confirmed_until_seconds

    def rows(self, kind: type[RowT]) -> Iterable[RowT]:
        """Return the rows of one kind."""
        return (
            stored.row for stored in self.document.rows.values() if isinstance(stored.row, kind)
        )

    def row(self, kind: type[RowT], name: str) -> RowT | None:
        """Return the row of a kind by its name, or None."""
        tag = kind.__struct_config__.tag  # type: ignore[attr-defined]
        stored = self.document.rows.get(f"{tag}/{name}")
        return stored.row if stored is not None else None  # type: ignore[return-value]

    @property
    def restricts_regions(self) -> bool:
        """Whether any route or tenant names the regions that may serve its requests."""
        if self._restricts_regions[0] != self.revision:
            rows = (stored.row for stored in self.document.rows.values())
            restricts = any(
                row.allowed_regions for row in rows if isinstance(row, RouteRow | TenantRow)
            )
            self._restricts_regions = (self.revision, restricts)
        return self._restricts_regions[1]

    def targets(self, serves: str) -> list[TargetRow]:
        """Return the targets of a model or service that are not draining."""
        return [row for row in self.rows(TargetRow) if row.serves == serves and not row.draining]


def choose_watchers(live_daemons: Iterable[tuple[str, str]], per_zone: int) -> set[str]:
    """Choose the daemons that watch the service on behalf of all others.

    Parameters
    ----------
    live_daemons : iterable of (daemon, zone)
        The daemons considered live. If daemons disagree on this set, the service gets
        more calls; the table stays correct.
    per_zone : int
        Watchers per availability zone; the number of calls therefore grows with the number
        of zones, not of daemons.

    Returns
    -------
    set of str
        Daemon names.
    """
    by_zone: dict[str, list[str]] = {}
    for daemon, zone in live_daemons:
        by_zone.setdefault(zone, []).append(daemon)
    watchers: set[str] = set()
    for daemons in by_zone.values():
        watchers.update(sorted(daemons)[:per_zone])
    return watchers
