"""Until when each start of a target is cold."""

from collections.abc import Set
from dataclasses import dataclass, field

__all__ = ["ColdTargets"]

NEVER_SECONDS = float("-inf")

AFTER_PAUSE_SECONDS = 2.0
"""How long a phase that ended while the daemon was paused is extended. The entries that arrive
meanwhile may state that the target is cold again; they are at most about 1 s old."""

RETENTION_SECONDS = 60.0
"""How long the state of an unlisted target is kept after it stopped being cold. An entry that
lapsed may return with an old revision, and must not be taken for a newer one."""


@dataclass(frozen=True, slots=True)
class _Newest:
    """The start and the revision of a target's newest entry."""

    start: str
    revision: int


@dataclass(slots=True)
class ColdTargets:
    """Until when each start of a target is cold, by its entries and by marks of this daemon."""

    _newest: dict[str, _Newest] = field(default_factory=dict)
    _entry_until_seconds: dict[str, float] = field(default_factory=dict)
    _marked_until_seconds: dict[str, float] = field(default_factory=dict)

    def record_entry(
        self,
        instance: str,
        start: str,
        revision: int,
        cold_left_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Apply an entry; return whether the start has become cold by it.

        An entry whose revision is not newer than the last one changes nothing. An entry of another
        start replaces everything known about the previous start.

        Parameters
        ----------
        instance, start : str
            The target, and the start that wrote the entry.
        revision : int
            Revision of the entry.
        cold_left_seconds : float
            Remaining time in which the target is cold, counted from now; 0 if it is not cold.
        now_seconds : float
            Monotonic clock.
        """
        known = self._newest.get(instance)
        if known is not None and revision <= known.revision:
            return False
        if known is not None and known.start != start:
            self._forget(known.start)
        self._newest[instance] = _Newest(start, revision)
        was_cold = now_seconds < self.until_seconds(start)
        if cold_left_seconds > 0:
            self._entry_until_seconds[start] = now_seconds + cold_left_seconds
        elif start in self._entry_until_seconds:
            # It may report that it is warm before the time that an earlier entry stated.
            known_seconds = self._entry_until_seconds[start]
            self._entry_until_seconds[start] = min(known_seconds, now_seconds)
        return not was_cold and now_seconds < self.until_seconds(start)

    def mark_cold(self, start: str, until_seconds: float) -> bool:
        """Make a start cold until a given time (monotonic); no entry ends this early.

        Returns
        -------
        bool
            Whether this extends the time in which it is cold.
        """
        known_seconds = self.until_seconds(start)
        marked_seconds = self._marked_until_seconds.get(start, NEVER_SECONDS)
        self._marked_until_seconds[start] = max(marked_seconds, until_seconds)
        return until_seconds > known_seconds

    def record_pause(self, since_seconds: float, now_seconds: float) -> None:
        """Extend the phases that ended while this daemon did not run.

        Parameters
        ----------
        since_seconds, now_seconds : float
            Beginning and end of the pause (monotonic).
        """
        for start in self.starts():
            if since_seconds <= self.until_seconds(start) <= now_seconds:
                self.mark_cold(start, now_seconds + AFTER_PAUSE_SECONDS)

    def until_seconds(self, start: str) -> float:
        """Return the end of a start's last cold phase; minus infinity if it never was cold."""
        return max(
            self._entry_until_seconds.get(start, NEVER_SECONDS),
            self._marked_until_seconds.get(start, NEVER_SECONDS),
        )

    def starts(self) -> set[str]:
        """Return the starts that are or were cold."""
        return self._entry_until_seconds.keys() | self._marked_until_seconds.keys()

    def keep_only(self, starts: Set[str], now_seconds: float) -> None:
        """Remove other starts that have not been cold for `RETENTION_SECONDS`.

        Parameters
        ----------
        starts : set of str
            The starts that are listed.
        now_seconds : float
            Monotonic clock.
        """
        oldest_seconds = now_seconds - RETENTION_SECONDS
        for instance, newest in list(self._newest.items()):
            if newest.start not in starts and self.until_seconds(newest.start) < oldest_seconds:
                del self._newest[instance]
        for start in self.starts() - starts:
            if self.until_seconds(start) < oldest_seconds:
                self._forget(start)

    def _forget(self, start: str) -> None:
        self._entry_until_seconds.pop(start, None)
        self._marked_until_seconds.pop(start, None)
