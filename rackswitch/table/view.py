"""The table that a daemon has in force, and how fresh it is known to be."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from rackswitch.outcomes import check_invariant
from rackswitch.table.edits import TableDocument
from rackswitch.table.rows import TargetRow

__all__ = ["TableView", "choose_watchers"]

RowT = TypeVar("RowT")


@dataclass(slots=True)
class TableView:
    """The newest table this daemon has seen; its revision only grows.

    Attributes
    ----------
    confirmed_until_seconds : float
        Until when (monotonic) the table counts as confirmed with the service.
    """

    document: TableDocument = field(default_factory=TableDocument)
    confirmed_until_seconds: float = float("-inf")

    @property
    def revision(self) -> int:
        """The revision in force; 0 means no table."""
        return self.document.revision

    def offer(self, document: TableDocument) -> bool:
        """Take a table in force if it is newer; return whether it was."""
        if document.revision <= self.revision:
            return False
        previous = self.revision
        self.document = document
        check_invariant(self.revision > previous, "a table revision never decreases")
        return True

    def confirm(self, revision: int, until_seconds: float) -> None:
        """Note that `revision` was current in the service, to be trusted until a deadline.

        A confirmation of another revision than the one in force says nothing about
        the table here and is ignored.
        """
        if revision == self.revision:
            self.confirmed_until_seconds = max(self.confirmed_until_seconds, until_seconds)

    def is_confirmed(self, now_seconds: float) -> bool:
        """Return whether the freshness of the table is still vouched for."""
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

    def targets(self, serves: str) -> list[TargetRow]:
        """Return the targets of a model or service that may get new work."""
        return [row for row in self.rows(TargetRow) if row.serves == serves and not row.draining]


def choose_watchers(live: Iterable[tuple[str, str]], per_zone: int) -> set[str]:
    """Choose the daemons that watch the service on behalf of all others.

    Parameters
    ----------
    live : iterable of (daemon, zone)
        The daemons believed live. Different beliefs on different daemons cost some
        calls, never a wrong table.
    per_zone : int
        Watchers in each availability zone; so the number of calls follows the number
        of zones, not of daemons.

    Returns
    -------
    set of str
        Daemon names.
    """
    by_zone: dict[str, list[str]] = {}
    for daemon, zone in live:
        by_zone.setdefault(zone, []).append(daemon)
    chosen: set[str] = set()
    for daemons in by_zone.values():
        chosen.update(sorted(daemons)[:per_zone])
    return chosen
