"""Which daemons may send to a cold target, by rendezvous hashing over the known daemons.

Views of the fleet differ between daemons by the delay of the entries. A daemon therefore sends
only if it was chosen in each of its views of the last `SETTLE_SECONDS`. The daemons that send
within any one second, and whose views are at most 1 s old, have then all been chosen by one of two
states of the fleet, which were 1 s apart: there are at most twice as many as planned.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import nlargest

__all__ = ["SETTLE_SECONDS", "SenderViews", "choose_senders"]

SETTLE_SECONDS = 1.0
"""How long a daemon must have been chosen before it sends: the age of the oldest view. A sender
that replaces another one waits this long, so a longer time costs more of the rate while owners of
jobs come and go: at 70 daemons and a change each second, 0.79, 0.59 and 0.43 of the rate are used
with 0, 1 and 2 s."""

MAX_SAMPLE_AGE_SECONDS = 0.6
"""Age of a daemon's last sample of its view above which it was paused or overloaded, so that the
view may be outdated and has to settle again."""

MAX_CACHED_CHOICES = 1000
"""Number of cached choices of one view; the starts of targets are replaced over time."""


def choose_senders(key: str, candidates: Iterable[str], count: int) -> frozenset[str]:
    """Return the daemons that may send under a key, at most `count`.

    If a candidate is added or removed, at most one of the senders changes.

    Parameters
    ----------
    key : str
        The start of a target and the kind of work.
    candidates : iterable of str
        The daemons to choose from.
    count : int
        Maximum number of senders.
    """
    return frozenset(nlargest(count, candidates, key=lambda daemon: _weight(key, daemon)))


def _weight(key: str, daemon: str) -> bytes:
    return blake2b(f"{key}\0{daemon}".encode(), digest_size=8).digest()


@dataclass(slots=True)
class _View:
    """The candidates as known from a point in time on.

    Attributes
    ----------
    since_seconds : float
        When this became the view (monotonic).
    """

    candidates: frozenset[str]
    since_seconds: float
    _choices: dict[tuple[str, int], frozenset[str]] = field(default_factory=dict)

    def chooses(self, daemon: str, key: str, count: int) -> bool:
        """Return whether a daemon is one of the senders."""
        senders = self._choices.get((key, count))
        if senders is None:
            if len(self._choices) >= MAX_CACHED_CHOICES:
                self._choices.clear()
            senders = self._choices[key, count] = choose_senders(key, self.candidates, count)
        return daemon in senders


@dataclass(slots=True)
class SenderViews:
    """One daemon's recent views of the daemons that may send one kind of work."""

    _views: list[_View] = field(default_factory=list)
    _sampled_at_seconds: float = float("-inf")

    def record(self, candidates: Iterable[str], now_seconds: float) -> None:
        """Record the present candidates."""
        if not self._is_current(now_seconds):
            self._views.clear()
        self._sampled_at_seconds = now_seconds
        present = frozenset(candidates)
        if not self._views or self._views[-1].candidates != present:
            self._views.append(_View(present, now_seconds))
        settled_seconds = now_seconds - SETTLE_SECONDS
        while len(self._views) > 1 and self._views[1].since_seconds <= settled_seconds:
            del self._views[0]

    def max_candidate_count(self) -> int:
        """Return the largest number of candidates in the recent views."""
        return max((len(view.candidates) for view in self._views), default=0)

    def pause_began_seconds(self, now_seconds: float) -> float | None:
        """Return since when no sample was taken, if this is so long that the daemon was paused."""
        if not self._views or self._is_current(now_seconds):
            return None
        return self._sampled_at_seconds

    def is_sender(self, daemon: str, key: str, count: int, now_seconds: float) -> bool:
        """Return whether a daemon has been one of the senders for `SETTLE_SECONDS`.

        Parameters
        ----------
        daemon : str
            The daemon.
        key, count : str, int
            As for `choose_senders`.
        now_seconds : float
            Monotonic clock.
        """
        if not self._views or not self._is_current(now_seconds):
            return False
        if self._views[0].since_seconds > now_seconds - SETTLE_SECONDS:
            return False
        return all(view.chooses(daemon, key, count) for view in self._views)

    def _is_current(self, now_seconds: float) -> bool:
        return now_seconds <= self._sampled_at_seconds + MAX_SAMPLE_AGE_SECONDS
