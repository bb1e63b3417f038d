"""Rate and concurrency limits on one daemon, enforced on its share of the global limit."""

from dataclasses import dataclass

from rackswitch.limits.shares import UNITS_TOLERANCE, ShareLedger

__all__ = ["ConcurrencyLimit", "RateLimit"]

BURST_SECONDS = 1.0
DEMAND_SMOOTHING_SECONDS = 1.0


@dataclass(slots=True)
class RateLimit:
    """A token bucket whose rate is this daemon's share of a global rate.

    Attributes
    ----------
    ledger : ShareLedger
        Shares in requests per second.
    """

    ledger: ShareLedger
    tokens: float = 0.0
    refilled_at_seconds: float | None = None
    demand_per_second: float = 0.0
    last_demand_seconds: float = 0.0

    def try_take(self, now_seconds: float) -> float | None:
        """Take one token.

        Returns
        -------
        float or None
            None if the request is admitted, else the time (monotonic seconds) at which
            a token will be available.
        """
        self._record_demand(now_seconds)
        rate = self.ledger.available_units(now_seconds)
        capacity = max(1.0, rate * BURST_SECONDS)
        if self.refilled_at_seconds is None:
            # A new bucket is full, so a starting daemon may exceed its share by one burst.
            self.tokens = capacity
        else:
            refilled_tokens = (now_seconds - self.refilled_at_seconds) * rate
            self.tokens = min(capacity, self.tokens + refilled_tokens)
        self.refilled_at_seconds = now_seconds
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return None
        return now_seconds + (1.0 - self.tokens) / max(rate, 1e-3)

    def missing_units(self, now_seconds: float) -> float:
        """Return the rate that this daemon's demand needs beyond its share."""
        return max(0.0, self.demand(now_seconds) * 1.1 - self.ledger.available_units(now_seconds))

    def demand(self, now_seconds: float) -> float:
        """Return the smoothed demand in requests per second."""
        return self.demand_per_second * self._decay_factor(now_seconds)

    def _record_demand(self, now_seconds: float) -> None:
        self.demand_per_second = self.demand(now_seconds) + 1.0 / DEMAND_SMOOTHING_SECONDS
        self.last_demand_seconds = now_seconds

    def _decay_factor(self, now_seconds: float) -> float:
        elapsed_seconds = now_seconds - self.last_demand_seconds
        return float(2.718281828 ** (-elapsed_seconds / DEMAND_SMOOTHING_SECONDS))


@dataclass(slots=True)
class ConcurrencyLimit:
    """A limit on requests in progress: this daemon's share of a global limit."""

    ledger: ShareLedger
    in_progress: int = 0
    refused_count: int = 0

    def try_acquire(self, now_seconds: float) -> bool:
        """Add a request in progress, if the limit allows it."""
        has_capacity = (
            self.in_progress + 1 <= self.ledger.available_units(now_seconds) + UNITS_TOLERANCE
        )
        if not has_capacity:
            self.refused_count += 1
            return False
        self.in_progress += 1
        return True

    def release(self) -> None:
        """Remove a request in progress."""
        self.in_progress -= 1

    def missing_units(self, now_seconds: float) -> float:
        """Return the number of requests refused since the last call."""
        missing = float(self.refused_count)
        self.refused_count = 0
        return missing
