"""Whether the platform's key-value service answers this daemon."""

from dataclasses import dataclass, field

from rackswitch.clients.kv import KvUnavailable
from rackswitch.requests import OutageTracker
from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.events import DependencyLost, DependencyRegained

__all__ = ["StoreReachability"]

KEY_VALUE = "key-value"
"""The service's name in logs and metrics."""


@dataclass(slots=True)
class StoreReachability:
    """Whether the key-value service is reachable, judged by the outcome of calls to it.

    Attributes
    ----------
    unreachable_since_seconds : float or None
        When the first call of the current outage failed; None while the service is reachable.
    recovered_at_seconds : float
        When the service last became reachable again; minus infinity if never.
    outage : OutageTracker
        Durations of the current and of earlier outages.
    last_failure_at_seconds : float
        When the last call failed; minus infinity if none has.
    """

    log: DecisionLog
    unreachable_since_seconds: float | None = None
    recovered_at_seconds: float = float("-inf")
    outage: OutageTracker = field(default_factory=OutageTracker)
    last_failure_at_seconds: float = float("-inf")

    @property
    def is_unreachable(self) -> bool:
        """Whether the service is unreachable."""
        return self.unreachable_since_seconds is not None

    def record_result(self, now_seconds: float, answer: object) -> None:
        """Record the outcome of a call: `KvUnavailable`, or else an answer."""
        if isinstance(answer, KvUnavailable):
            self.record_failure(now_seconds, answer.detail)
        else:
            self.record_answer(now_seconds)

    def record_answer(self, now_seconds: float) -> None:
        """Record that the service answered."""
        if self.unreachable_since_seconds is None:
            return
        away_seconds = now_seconds - self.unreachable_since_seconds
        self.unreachable_since_seconds = None
        self.outage.record_available(now_seconds)
        self.recovered_at_seconds = now_seconds
        self.log.write(DependencyRegained(dependency=KEY_VALUE, away_seconds=away_seconds))

    def record_peer_contact(self, at_seconds: float, now_seconds: float) -> None:
        """Record that the service answered another daemon at `at_seconds`.

        Peers forward calls, so the service is reachable through that daemon. Otherwise a follower
        would notice this only at its next lease renewal, and claim no jobs until then.
        """
        if self.is_unreachable and at_seconds > self.last_failure_at_seconds:
            self.record_answer(now_seconds)

    def record_failure(self, now_seconds: float, detail: str) -> None:
        """Record a call that got no answer."""
        self.last_failure_at_seconds = now_seconds
        if self.unreachable_since_seconds is not None:
            return
        self.unreachable_since_seconds = now_seconds
        self.outage.record_unavailable(now_seconds)
        self.log.write(DependencyLost(dependency=KEY_VALUE, detail=detail))
