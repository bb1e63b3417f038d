"""The ends that all daemons have told of, by request."""

from dataclasses import dataclass, field

from rackswitch.quarantine.records import ClearedRequest, EndedTarget, EndRecord

__all__ = ["Evidence", "LocalEnds"]

MAX_ENDS = 32
"""Ends that one daemon tells of: a request is held back after three, so that ten requests of that
kind at one daemon are not lost among others. Full, a record has some 45 KB."""

MAX_ACQUITTALS = 64

RECORD_LIFE_SECONDS = 3600.0
"""After so long without another end a request may run freely again: what ended its targets may have
been mended. Until it is held back again that costs three targets an hour."""


@dataclass(slots=True)
class LocalEnds:
    """The ends that this daemon has seen, within bounds."""

    ends: list[EndedTarget] = field(default_factory=list)
    acquittals: list[ClearedRequest] = field(default_factory=list)

    def adopt(self, record: EndRecord) -> None:
        """Go on with the record of an earlier process of this daemon."""
        self.ends = list(record.ends) + self.ends
        self.acquittals = list(record.acquittals) + self.acquittals

    def ended(self, target: str, runs: tuple[str, ...], now_unix_seconds: float) -> None:
        """Note an end."""
        self.ends.append(EndedTarget(target, runs, now_unix_seconds))

    def acquit(self, fingerprint: str, targets: set[str], now_unix_seconds: float) -> None:
        """Note that a request is not to be blamed for ends, `targets` among those of others."""
        left = []
        for end in self.ends:
            runs = tuple(run for run in end.runs if run != fingerprint)
            if runs:
                left.append(EndedTarget(end.target, runs, end.at_unix_seconds))
        self.ends = left
        if targets:
            told = ClearedRequest(fingerprint, tuple(sorted(targets)), now_unix_seconds)
            self.acquittals = [kept for kept in self.acquittals if kept.fingerprint != fingerprint]
            self.acquittals.append(told)

    def expire(self, now_unix_seconds: float) -> None:
        """Drop what is too old or too much."""
        oldest_seconds = now_unix_seconds - RECORD_LIFE_SECONDS
        ends = [end for end in self.ends if end.at_unix_seconds >= oldest_seconds]
        acquittals = [kept for kept in self.acquittals if kept.at_unix_seconds >= oldest_seconds]
        self.ends = ends[-MAX_ENDS:]
        self.acquittals = acquittals[-MAX_ACQUITTALS:]

    def record(self, number: int, lease_id: int) -> EndRecord:
        """Return what there is to tell."""
        return EndRecord(number, lease_id, tuple(self.ends), tuple(self.acquittals))


@dataclass(slots=True)
class Evidence:
    """What is known of all daemons' ends; the latest record of each daemon counts."""

    _records: dict[str, EndRecord] = field(default_factory=dict)
    _is_stale: bool = False
    _ends: dict[str, dict[str, float]] = field(default_factory=dict)
    _present: dict[str, set[str]] = field(default_factory=dict)

    def take(self, daemon: str, record: EndRecord) -> None:
        """Take in a daemon's record, unless a newer one of it is known."""
        known = self._records.get(daemon)
        if known is None or record.number >= known.number:
            self._records[daemon] = record
            self._is_stale = True

    def drop(self, daemon: str) -> None:
        """Forget a daemon's record."""
        if self._records.pop(daemon, None) is not None:
            self._is_stale = True

    @property
    def is_empty(self) -> bool:
        """Whether no request is blamed for any end."""
        self._refresh()
        return not self._ends

    def targets_told_by_others(self, fingerprint: str, daemon: str) -> set[str]:
        """Return the targets that ended while a request ran there, by all daemons but one."""
        return {
            end.target
            for name, record in self._records.items()
            for end in record.ends
            if name != daemon and fingerprint in end.runs
        }

    def count(self, fingerprint: str) -> int:
        """Return under how many targets' ends a request was present."""
        self._refresh()
        return len(self._ends.get(fingerprint, ()))

    def newest_unix_seconds(self, fingerprint: str) -> float:
        """Return when the last of these ends was known."""
        self._refresh()
        return max(self._ends.get(fingerprint, {"": 0.0}).values())

    def is_alone(self, fingerprint: str) -> bool:
        """Return whether at one of the ends nobody else is left to blame."""
        self._refresh()
        targets = self._ends.get(fingerprint, ())
        return any(self._present[target] == {fingerprint} for target in targets)

    def max_suspected_beside(self, fingerprint: str) -> int:
        """Return the most ends of any request that was present at an end with this one."""
        self._refresh()
        others = {
            other for target in self._ends.get(fingerprint, ()) for other in self._present[target]
        }
        return max((len(self._ends[other]) for other in others), default=0)

    def _refresh(self) -> None:
        """Work out anew who was present where.

        Done when asked and not with each record, as the records of a whole fleet come together.
        """
        if not self._is_stale:
            return
        self._is_stale = False
        acquitted = {
            (acquittal.fingerprint, target)
            for record in self._records.values()
            for acquittal in record.acquittals
            for target in acquittal.targets
        }
        self._ends = {}
        self._present = {}
        for record in self._records.values():
            for end in record.ends:
                for run in end.runs:
                    if (run, end.target) not in acquitted:
                        self._ends.setdefault(run, {})[end.target] = end.at_unix_seconds
                        self._present.setdefault(end.target, set()).add(run)
