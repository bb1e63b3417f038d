"""Rate and concurrency limits on one daemon, over its share."""

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
    book : ShareLedger
        Shares in requests per second.
    """

    book: ShareLedger
    tokens: float = 0.0
    filled_at_seconds: float | None = None
    demand_per_second: float = 0.0
    last_demand_seconds: float = 0.0

    def try_take(self, now_seconds: float) -> float | None:
        """Take one token.

        Returns
        -------
        float or None
            None if the request may go on, else the time (monotonic seconds) at which
            a token is due.
        """
        self._note_demand(now_seconds)
        rate = self.book.available_units(now_seconds)
        capacity = max(1.0, rate * BURST_SECONDS)
        if self.filled_at_seconds is None:
            # A new bucket is full: a daemon that starts may exceed its share by one burst.
            self.tokens = capacity
        else:
            earned = (now_seconds - self.filled_at_seconds) * rate
            self.tokens = min(capacity, self.tokens + earned)
        self.filled_at_seconds = now_seconds
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return None
        return now_seconds + (1.0 - self.tokens) / max(rate, 1e-3)

    def missing_units(self, now_seconds: float) -> float:
        """Return how much more rate this daemon's demand could use."""
        return max(0.0, self.demand(now_seconds) * 1.1 - self.book.available_units(now_seconds))

    def demand(self, now_seconds: float) -> float:
        """Return the smoothed demand in requests per second."""
        return self.demand_per_second * self._decay(now_seconds)

    def _note_demand(self, now_seconds: float) -> None:
        self.demand_per_second = self.demand(now_seconds) + 1.0 / DEMAND_SMOOTHING_SECONDS
        self.last_demand_seconds = now_seconds

    def _decay(self, now_seconds: float) -> float:
        elapsed_seconds = now_seconds - self.last_demand_seconds
        return float(2.718281828 ** (-elapsed_seconds / DEMAND_SMOOTHING_SECONDS))


@dataclass(slots=True)
class ConcurrencyLimit:
    """Requests in progress at once, up to this daemon's share of a global number."""

    book: ShareLedger
    in_progress: int = 0
    refused: int = 0

    def try_enter(self, now_seconds: float) -> bool:
        """Count a request in if there is room."""
        room = self.in_progress + 1 <= self.book.available_units(now_seconds) + UNITS_TOLERANCE
        if not room:
            self.refused += 1
            return False
        self.in_progress += 1
        return True

    def leave(self) -> None:
        """Count a request out."""
        self.in_progress -= 1

    def missing_units(self, now_seconds: float) -> float:
        """Return how many more places recent refusals could have used."""
        missing = float(self.refused)
        self.refused = 0
        return missing
