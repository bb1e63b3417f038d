"""When a new holder may send orders to systems that don't check fencing numbers.

Such systems are engines and the operator's API.

Before a holder sends an order, it writes an entry to a record under its role's fencing number,
and it sends the order only within a short window after that. All daemons watch the record, so a
successor knows when the former holder can have sent its last order.
"""

from dataclasses import dataclass, field

__all__ = ["ORDER_WINDOW_SECONDS", "OrderTurns"]

ORDER_WINDOW_SECONDS = 0.5
"""How long after the start of writing its entry a holder may send an order."""


@dataclass(frozen=True, slots=True)
class _Entry:
    holder: str
    revision: int
    seen_seconds: float


@dataclass(slots=True)
class OrderTurns:
    """The last entry of each record that this daemon has seen.

    Parameters
    ----------
    daemon : str
        This daemon. An earlier process of the same daemon counts as the same holder, as it
        has ended.
    """

    daemon: str
    entries: dict[str, _Entry] = field(default_factory=dict)

    def record_entry(self, group: str, holder: str, revision: int, seen_seconds: float) -> None:
        """Record an entry for a group of engines, seen at `seen_seconds` (monotonic).

        An entry whose revision is not newer than the known one is ignored.
        """
        known = self.entries.get(group)
        if known is None or revision > known.revision:
            self.entries[group] = _Entry(holder, revision, seen_seconds)

    def last_holder(self, group: str) -> str | None:
        """Return the daemon that made the last entry for a group, if there is one."""
        entry = self.entries.get(group)
        return entry.holder if entry is not None else None

    def may_order_from_seconds(self, group: str, turn_seconds: float) -> float:
        """Return the time from which this daemon, as the holder, may send orders to a group.

        Parameters
        ----------
        group : str
            The group of engines.
        turn_seconds : float
            Minimum time between the last order of one holder and the first of another.
        """
        entry = self.entries.get(group)
        if entry is None or entry.holder == self.daemon:
            return float("-inf")
        return entry.seen_seconds + ORDER_WINDOW_SECONDS + turn_seconds

    def may_send(self, entered_at_seconds: float, now_seconds: float) -> bool:
        """Return whether an order with an entry begun at `entered_at_seconds` may be sent."""
        return now_seconds < entered_at_seconds + ORDER_WINDOW_SECONDS
