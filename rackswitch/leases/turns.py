"""When a new holder may act where nobody checks fencing numbers: engines, the operator's API.

Before a holder orders, it enters itself in a record under its role's fence, and
it orders only within a short window after that. All daemons follow the record,
so a successor knows how long the last possible order of the former holder is
past, without asking anybody.
"""

from dataclasses import dataclass, field

__all__ = ["ORDER_WINDOW_SECONDS", "OrderTurns"]

ORDER_WINDOW_SECONDS = 0.5
"""How long after it began to enter itself a holder may order. The entry takes some
milliseconds on a calm day; one that takes longer than this is made again."""


@dataclass(frozen=True, slots=True)
class _Entry:
    holder: str
    revision: int
    seen_seconds: float


@dataclass(slots=True)
class OrderTurns:
    """Who entered the records last, as this daemon saw it.

    Parameters
    ----------
    daemon : str
        This daemon. Its own orders and those of an earlier process of it are one
        holder's: the earlier process is dead.
    """

    daemon: str
    entries: dict[str, _Entry] = field(default_factory=dict)

    def entered(self, group: str, holder: str, revision: int, seen_seconds: float) -> None:
        """Note an entry for a group of engines, seen at a moment (monotonic).

        One that was seen before, by its revision, was made before that moment already.
        """
        known = self.entries.get(group)
        if known is None or revision > known.revision:
            self.entries[group] = _Entry(holder, revision, seen_seconds)

    def last_holder(self, group: str) -> str | None:
        """Return the daemon that last entered the record of a group's orders, if any did."""
        entry = self.entries.get(group)
        return entry.holder if entry is not None else None

    def may_order_from_seconds(self, group: str, turn_seconds: float) -> float:
        """Return from when on this daemon, once it holds the role, may order the group.

        Parameters
        ----------
        group : str
            The engines.
        turn_seconds : float
            How long the last order of one holder must be past before another orders.
        """
        entry = self.entries.get(group)
        if entry is None or entry.holder == self.daemon:
            return float("-inf")
        return entry.seen_seconds + ORDER_WINDOW_SECONDS + turn_seconds

    def may_send(self, entered_at_seconds: float, now_seconds: float) -> bool:
        """Return whether an order may still leave whose entry was begun at a moment."""
        return now_seconds < entered_at_seconds + ORDER_WINDOW_SECONDS
