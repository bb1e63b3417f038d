"""Finding out whether a target has ended under the runs that broke off there.

A broken run alone says little: its connection may have been reset, or the way to the target
cut. A target whose process has ended refuses connections, or is listed no more, or as another
start.
"""

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["LOOK_PAUSE_SECONDS", "EndEvidence", "EndInvestigations", "ProbeOutcome", "TargetEnd"]

LOOK_PAUSE_SECONDS = 0.2
"""Between two looks at a target that refused a connection or did not answer."""

REFUSALS_TO_TELL = 3
"""So many refused connections in a row, over 0.4 s, on top of a broken run: a target that is only
full refuses too, but goes on with what it runs. Targets that ended took 1.4 s and more until they
were back (40 ends of a recorded day)."""

INQUIRY_SECONDS = 5.0
"""How long a target that neither answers nor refuses is asked after: an entry goes from the
platform's list after three heartbeats of silence, 2.6 to 3.5 s on the recorded day."""

MAX_RUNS = 64
"""Broken runs that are kept of one target: more than an engine's slots and its queue's head."""


class ProbeOutcome(Enum):
    """What one try to connect to a target showed."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class EndEvidence(Enum):
    """How it is known that a target's process has ended."""

    REFUSED = "refuses connections"
    REPLACED = "another start has its place"
    UNLISTED = "its entry has gone"


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """A target that ended, and what broke off there.

    Attributes
    ----------
    target : str
        The start of the target that ended.
    fingerprints : tuple of str
        Of the requests whose runs broke, each once.
    """

    target: str
    fingerprints: tuple[str, ...]
    evidence: EndEvidence


@dataclass(slots=True)
class _Inquiry:
    fingerprints: dict[str, float]
    until_seconds: float
    refusals: int = 0


@dataclass(slots=True)
class EndInvestigations:
    """The targets whose runs broke and of which it is not known yet whether they ended."""

    _open: dict[str, _Inquiry] = field(default_factory=dict)

    def broke(self, target: str, fingerprint: str, now_seconds: float) -> bool:
        """Note a broken run; return whether this opens an inquiry, so that a first look is due."""
        inquiry = self._open.get(target)
        is_new = inquiry is None
        if inquiry is None:
            inquiry = _Inquiry({}, now_seconds + INQUIRY_SECONDS)
            self._open[target] = inquiry
        if len(inquiry.fingerprints) < MAX_RUNS:
            inquiry.fingerprints.setdefault(fingerprint, now_seconds)
        return is_new

    def looked(
        self, target: str, look: ProbeOutcome, looked_at_seconds: float, now_seconds: float
    ) -> TargetEnd | None:
        """Take in a look; return the target's end if it shows one.

        Parameters
        ----------
        target : str
            The target.
        look : ProbeOutcome
            What was seen.
        looked_at_seconds, now_seconds : float
            When the look began, and when it ended (same clock).
        """
        inquiry = self._open.get(target)
        if inquiry is None:
            return None
        if look is ProbeOutcome.ANSWERED:
            # What broke while the look was under way may have to do with a later end.
            later = {fp: at for fp, at in inquiry.fingerprints.items() if at > looked_at_seconds}
            inquiry.fingerprints = later
            inquiry.refusals = 0
        elif look is ProbeOutcome.REFUSED:
            inquiry.refusals += 1
            if inquiry.refusals >= REFUSALS_TO_TELL:
                return self.ended(target, EndEvidence.REFUSED)
        else:
            inquiry.refusals = 0
        if not inquiry.fingerprints or now_seconds >= inquiry.until_seconds:
            del self._open[target]
        return None

    def ended(self, target: str, evidence: EndEvidence) -> TargetEnd | None:
        """Note that a target has ended; return what broke there, None if nothing did."""
        inquiry = self._open.pop(target, None)
        if inquiry is None or not inquiry.fingerprints:
            return None
        return TargetEnd(target, tuple(inquiry.fingerprints), evidence)

    @property
    def any_open(self) -> bool:
        """Whether any target is inquired after."""
        return bool(self._open)

    def acquit(self, fingerprint: str) -> None:
        """Note that a request has been answered by a target: it does not end targets."""
        for inquiry in self._open.values():
            inquiry.fingerprints.pop(fingerprint, None)

    def is_open(self, target: str) -> bool:
        """Return whether a target is still inquired after."""
        return target in self._open

    def count(self, fingerprint: str) -> int:
        """Return at how many targets a request broke whose fate is not known yet."""
        return sum(fingerprint in inquiry.fingerprints for inquiry in self._open.values())
