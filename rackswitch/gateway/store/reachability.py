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
    """Contact with the key-value service, as its calls show it.

    Attributes
    ----------
    away_since_seconds : float or None
        When the first of the calls that went unanswered was made; None while all is well.
    back_seconds : float
        When the service last answered again after being away; minus infinity if never.
    outage : OutageTracker
        How long the service was away before, and is now.
    failed_seconds : float
        When the last call went unanswered; minus infinity if none ever did.
    """

    log: DecisionLog
    away_since_seconds: float | None = None
    back_seconds: float = float("-inf")
    outage: OutageTracker = field(default_factory=OutageTracker)
    last_failure_at_seconds: float = float("-inf")

    @property
    def is_away(self) -> bool:
        """Whether the last call went unanswered."""
        return self.away_since_seconds is not None

    def note(self, now_seconds: float, answer: object) -> None:
        """Note what a call brought: `KvUnavailable`, or else an answer."""
        if isinstance(answer, KvUnavailable):
            self.failed(now_seconds, answer.detail)
        else:
            self.answered(now_seconds)

    def answered(self, now_seconds: float) -> None:
        """Note an answer."""
        if self.away_since_seconds is None:
            return
        away_seconds = now_seconds - self.away_since_seconds
        self.away_since_seconds = None
        self.outage.there(now_seconds)
        self.back_seconds = now_seconds
        self.log.write(DependencyRegained(dependency=KEY_VALUE, away_seconds=away_seconds))

    def record_peer_contact(self, at_seconds: float, now_seconds: float) -> None:
        """Note that the service answered another daemon at a moment, which passes calls on.

        A daemon that only follows others would learn of the service's return by its next renewal
        alone, seconds later, and claim no jobs until then.
        """
        if self.is_away and at_seconds > self.last_failure_at_seconds:
            self.answered(now_seconds)

    def failed(self, now_seconds: float, detail: str) -> None:
        """Note a call without an answer."""
        self.last_failure_at_seconds = now_seconds
        if self.away_since_seconds is not None:
            return
        self.away_since_seconds = now_seconds
        self.outage.missing(now_seconds)
        self.log.write(DependencyLost(dependency=KEY_VALUE, detail=detail))
