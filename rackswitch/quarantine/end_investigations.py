"""Determines whether a target has ended after runs were interrupted there.

An interrupted run alone is no proof: its connection may have been reset, or the network path to the
target may have failed. A target whose process has ended refuses connections, is no longer listed,
or is listed as another start.
"""

from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "PROBE_INTERVAL_SECONDS",
    "EndEvidence",
    "EndInvestigations",
    "ProbeOutcome",
    "TargetEnd",
]

PROBE_INTERVAL_SECONDS = 0.2
"""Interval between two probes of a target that refused a connection or did not answer."""

REFUSALS_TO_CONFIRM = 3
"""Consecutive refused connections, over 0.4 s, that prove an end after an interrupted run. A target
that is only full refuses connections too, but does not interrupt its runs. Targets that ended took
1.4 s and more to return."""

INVESTIGATION_SECONDS = 5.0
"""How long a target that neither answers nor refuses is probed: longer than the platform's list
takes to drop the entry of a target that has ended, which is three missed heartbeats (2.6 to 3.5
s)."""

MAX_RUNS = 64
"""Maximum number of interrupted runs stored for one target."""


class ProbeOutcome(Enum):
    """Result of one attempt to connect to a target."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class EndEvidence(Enum):
    """What proves that a target's process has ended."""

    REFUSED = "refuses connections"
    REPLACED = "another start has its place"
    UNLISTED = "its entry has gone"


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """A target that ended, and the requests that it interrupted.

    Attributes
    ----------
    target : str
        The start of the target that ended.
    fingerprints : tuple of str
        The requests whose runs were interrupted, each once.
    """

    target: str
    fingerprints: tuple[str, ...]
    evidence: EndEvidence


@dataclass(slots=True)
class _Investigation:
    fingerprints: dict[str, float]
    until_seconds: float
    refusals: int = 0


@dataclass(slots=True)
class EndInvestigations:
    """The targets with interrupted runs of which it is not yet known whether they ended."""

    _open: dict[str, _Investigation] = field(default_factory=dict)

    def record_interruption(self, target: str, fingerprint: str, now_seconds: float) -> bool:
        """Record an interrupted run; return whether it opens an investigation."""
        investigation = self._open.get(target)
        is_new = investigation is None
        if investigation is None:
            investigation = _Investigation({}, now_seconds + INVESTIGATION_SECONDS)
            self._open[target] = investigation
        if len(investigation.fingerprints) < MAX_RUNS:
            investigation.fingerprints.setdefault(fingerprint, now_seconds)
        return is_new

    def record_probe(
        self, target: str, outcome: ProbeOutcome, probed_at_seconds: float, now_seconds: float
    ) -> TargetEnd | None:
        """Record a probe; return the target's end if the probe proves one.

        Parameters
        ----------
        target : str
            The target.
        outcome : ProbeOutcome
            The probe's result.
        probed_at_seconds, now_seconds : float
            When the probe began, and when it ended (same clock).
        """
        investigation = self._open.get(target)
        if investigation is None:
            return None
        if outcome is ProbeOutcome.ANSWERED:
            # A run interrupted during the probe may belong to a later end.
            later = {
                fingerprint: interrupted_at_seconds
                for fingerprint, interrupted_at_seconds in investigation.fingerprints.items()
                if interrupted_at_seconds > probed_at_seconds
            }
            investigation.fingerprints = later
            investigation.refusals = 0
        elif outcome is ProbeOutcome.REFUSED:
            investigation.refusals += 1
            if investigation.refusals >= REFUSALS_TO_CONFIRM:
                return self.close(target, EndEvidence.REFUSED)
        else:
            investigation.refusals = 0
        if not investigation.fingerprints or now_seconds >= investigation.until_seconds:
            del self._open[target]
        return None

    def close(self, target: str, evidence: EndEvidence) -> TargetEnd | None:
        """Close the investigation of a target that has ended.

        Returns
        -------
        TargetEnd or None
            The end with the interrupted requests; None if there are none.
        """
        investigation = self._open.pop(target, None)
        if investigation is None or not investigation.fingerprints:
            return None
        return TargetEnd(target, tuple(investigation.fingerprints), evidence)

    @property
    def any_open(self) -> bool:
        """Whether any target is under investigation."""
        return bool(self._open)

    def clear(self, fingerprint: str) -> None:
        """Clear a request of suspicion, since a target has answered it."""
        for investigation in self._open.values():
            investigation.fingerprints.pop(fingerprint, None)

    def is_open(self, target: str) -> bool:
        """Return whether a target is still under investigation."""
        return target in self._open

    def count(self, fingerprint: str) -> int:
        """Return the number of targets under investigation where a request was interrupted."""
        return sum(
            fingerprint in investigation.fingerprints for investigation in self._open.values()
        )
