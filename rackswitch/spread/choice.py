"""Decides which daemon to follow, and when to watch the key-value service directly."""

from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["SourceSelector", "max_age_seconds"]

FAILED_SOURCE_COOLDOWN_SECONDS = 3.0
"""Cooldown after a source did not answer; longer than a restart. Asking a source that is still gone
costs a daemon without a source 0.3 s."""

STALE_SOURCE_COOLDOWN_SECONDS = 1.0
"""Cooldown after a source answered with outdated data; short, because another request is cheap.
With 3 s, 50 of 64 daemons watched the service themselves for 3 s while it was slow, although the
root's data was fresh again."""

NOT_READY_RETRY_SECONDS = 0.1
"""Delay before a source without usable replicas is asked again, such as one that is starting."""

ROOT_MAX_AGE_SECONDS = 1.4
"""Maximum age of the data that the root passes on: one watch, its slack, and one retry through
another daemon."""

EXTRA_SECONDS_PER_LEVEL = 0.3
"""Extra age and waiting time for each level of the tree below the first, so that the daemons next
to the root replace a failed root before those below them react."""

STARTUP_WAIT_SECONDS = 1.0
"""How long a daemon waits for sources that are starting before it watches the service itself: some
0.3 s pass between the first and the last start of a fleet, and each level of the tree needs 0.1
s."""


def max_age_seconds(level: int) -> float:
    """Return the maximum age of the data that a daemon at a level of the tree accepts."""
    return ROOT_MAX_AGE_SECONDS + EXTRA_SECONDS_PER_LEVEL * max(0, level - 1)


@dataclass(slots=True)
class SourceSelector:
    """Selects one daemon's source of replicas.

    Parameters
    ----------
    without_source_since_seconds : float
        Since when the daemon has had no source (monotonic); initially its start.

    Attributes
    ----------
    source : str
        The daemon whose replicas are followed; empty if there is none.
    """

    without_source_since_seconds: float
    source: str = ""
    _cooldown_until_seconds: dict[str, float] = field(default_factory=dict)
    _failed: set[str] = field(default_factory=set)

    @property
    def is_following(self) -> bool:
        """Whether the daemon follows another one."""
        return bool(self.source)

    def next_source(self, sources: Sequence[str], now_seconds: float) -> str | None:
        """Return the first source that is not in its cooldown, if any."""
        for name in sources:
            if now_seconds >= self._cooldown_until_seconds.get(name, float("-inf")):
                return name
        return None

    def must_watch(self, sources: Sequence[str], level: int, now_seconds: float) -> bool:
        """Return whether the daemon has to watch the service itself now.

        Parameters
        ----------
        sources : sequence of str
            The daemons that it may follow; empty for the root.
        level : int
            Its distance from the root, in steps of the tree.
        now_seconds : float
            Monotonic clock.
        """
        if not sources:
            return True
        if self.is_following:
            return False
        max_wait_seconds = EXTRA_SECONDS_PER_LEVEL * max(0, level - 1)
        if not self._failed.issuperset(sources):
            max_wait_seconds += STARTUP_WAIT_SECONDS
        return now_seconds >= self.without_source_since_seconds + max_wait_seconds

    def record_success(self, name: str) -> bool:
        """Record that a source was followed; return whether it is a new one."""
        is_new = self.source != name
        self.source = name
        self._cooldown_until_seconds.pop(name, None)
        self._failed.clear()
        return is_new

    def record_failure(self, name: str, now_seconds: float) -> None:
        """Record that a source did not answer."""
        self._failed.add(name)
        self._start_cooldown(name, now_seconds, FAILED_SOURCE_COOLDOWN_SECONDS)

    def record_silence(self, name: str, now_seconds: float, retry_at_seconds: float) -> None:
        """Record that a source is late with its answer, which is still waited for.

        Parameters
        ----------
        name : str
            The source.
        now_seconds : float
            Monotonic clock.
        retry_at_seconds : float
            When the source may be asked again (monotonic).
        """
        self._failed.add(name)
        self._start_cooldown(name, now_seconds, retry_at_seconds - now_seconds)

    def record_stale(self, name: str, now_seconds: float) -> None:
        """Record that a source answered with data that is too old."""
        self._failed.add(name)
        self._start_cooldown(name, now_seconds, STALE_SOURCE_COOLDOWN_SECONDS)

    def record_not_ready(self, name: str, now_seconds: float) -> None:
        """Record that a source has no usable replicas yet."""
        self._start_cooldown(name, now_seconds, NOT_READY_RETRY_SECONDS)

    def clear_cooldowns(self) -> None:
        """End all cooldowns, so that every source may be asked again."""
        self._cooldown_until_seconds.clear()

    def stop_following(self, now_seconds: float) -> None:
        """Stop following the current source, if there is one."""
        if self.source:
            self.source = ""
            self.without_source_since_seconds = now_seconds

    def _start_cooldown(self, name: str, now_seconds: float, cooldown_seconds: float) -> None:
        self._cooldown_until_seconds[name] = now_seconds + cooldown_seconds
        if self.source == name:
            self.stop_following(now_seconds)
