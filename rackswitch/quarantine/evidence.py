"""The target ends that all daemons have reported, by request."""

from dataclasses import dataclass, field

from rackswitch.quarantine.records import ClearedRequest, EndedTarget, EndRecord

__all__ = ["Evidence", "LocalEnds"]

MAX_ENDS = 32
"""Maximum number of ends in one daemon's record, which bounds its size to some 45 KB. A request is
held back after three, so ten such requests at one daemon fit."""

MAX_CLEARED_REQUESTS = 64

EVIDENCE_LIFETIME_SECONDS = 3600.0
"""Ends older than this are dropped, since their cause may have been repaired."""


@dataclass(slots=True)
class LocalEnds:
    """The ends that this daemon has seen, bounded in number and age."""

    ends: list[EndedTarget] = field(default_factory=list)
    cleared_requests: list[ClearedRequest] = field(default_factory=list)

    def adopt(self, record: EndRecord) -> None:
        """Add the record of an earlier process of this daemon."""
        self.ends = list(record.ends) + self.ends
        self.cleared_requests = list(record.acquittals) + self.cleared_requests

    def record_end(self, target: str, runs: tuple[str, ...], now_unix_seconds: float) -> None:
        """Record the end of a target."""
        self.ends.append(EndedTarget(target, runs, now_unix_seconds))

    def clear(self, fingerprint: str, targets: set[str], now_unix_seconds: float) -> None:
        """Clear a request of suspicion, also for the ends of `targets` that others reported."""
        remaining = []
        for end in self.ends:
            runs = tuple(run for run in end.runs if run != fingerprint)
            if runs:
                remaining.append(EndedTarget(end.target, runs, end.at_unix_seconds))
        self.ends = remaining
        if targets:
            cleared = ClearedRequest(fingerprint, tuple(sorted(targets)), now_unix_seconds)
            self.cleared_requests = [
                other for other in self.cleared_requests if other.fingerprint != fingerprint
            ]
            self.cleared_requests.append(cleared)

    def expire(self, now_unix_seconds: float) -> None:
        """Drop entries that are too old, and the oldest ones beyond the maximum number."""
        oldest_seconds = now_unix_seconds - EVIDENCE_LIFETIME_SECONDS
        ends = [end for end in self.ends if end.at_unix_seconds >= oldest_seconds]
        cleared = [
            entry for entry in self.cleared_requests if entry.at_unix_seconds >= oldest_seconds
        ]
        self.ends = ends[-MAX_ENDS:]
        self.cleared_requests = cleared[-MAX_CLEARED_REQUESTS:]

    def to_record(self, number: int, lease_id: int) -> EndRecord:
        """Return the record to publish."""
        return EndRecord(number, lease_id, tuple(self.ends), tuple(self.cleared_requests))


@dataclass(slots=True)
class Evidence:
    """The ends that all daemons have reported, from the latest record of each daemon."""

    _records: dict[str, EndRecord] = field(default_factory=dict)
    _is_stale: bool = False
    _end_times: dict[str, dict[str, float]] = field(default_factory=dict)
    _suspects: dict[str, set[str]] = field(default_factory=dict)

    def put_record(self, daemon: str, record: EndRecord) -> None:
        """Store a daemon's record, unless a newer one of it is known."""
        known = self._records.get(daemon)
        if known is None or record.number >= known.number:
            self._records[daemon] = record
            self._is_stale = True

    def remove_record(self, daemon: str) -> None:
        """Remove a daemon's record."""
        if self._records.pop(daemon, None) is not None:
            self._is_stale = True

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected of any end."""
        self._refresh()
        return not self._end_times

    def targets_reported_by_others(self, fingerprint: str, daemon: str) -> set[str]:
        """Return the targets that ended under a request, as reported by all daemons but one."""
        return {
            end.target
            for name, record in self._records.items()
            for end in record.ends
            if name != daemon and fingerprint in end.runs
        }

    def count(self, fingerprint: str) -> int:
        """Return the number of targets that ended while a request ran there."""
        self._refresh()
        return len(self._end_times.get(fingerprint, ()))

    def newest_unix_seconds(self, fingerprint: str) -> float:
        """Return when the last of these ends was detected; 0 if there is none."""
        self._refresh()
        return max(self._end_times.get(fingerprint, {"": 0.0}).values())

    def is_sole_suspect(self, fingerprint: str) -> bool:
        """Return whether a request is the only suspect at one of the ends."""
        self._refresh()
        targets = self._end_times.get(fingerprint, ())
        return any(self._suspects[target] == {fingerprint} for target in targets)

    def max_ends_of_co_suspects(self, fingerprint: str) -> int:
        """Return the maximum number of ends of any request that shares an end with this one."""
        self._refresh()
        others = {
            other
            for target in self._end_times.get(fingerprint, ())
            for other in self._suspects[target]
        }
        return max((len(self._end_times[other]) for other in others), default=0)

    def _refresh(self) -> None:
        """Rebuild the indexes of end times and suspects from the records.

        Done on the next query and not for each record, since many daemons' records arrive together.
        """
        if not self._is_stale:
            return
        self._is_stale = False
        cleared = {
            (entry.fingerprint, target)
            for record in self._records.values()
            for entry in record.acquittals
            for target in entry.targets
        }
        self._end_times = {}
        self._suspects = {}
        for record in self._records.values():
            for end in record.ends:
                for run in end.runs:
                    if (run, end.target) not in cleared:
                        self._end_times.setdefault(run, {})[end.target] = end.at_unix_seconds
                        self._suspects.setdefault(end.target, set()).add(run)
