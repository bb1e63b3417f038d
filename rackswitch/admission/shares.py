"""Fair shares of tenants while a service has too little capacity for all.

A wait queue with few requests cannot even out tenants' demand, so this is done on arrival: a
tenant that asks for more than the fair rate gets only the share of its calls admitted that the
fair rate allows.

References
----------
"Core-Stateless Fair Queueing" (Stoica, Shenker, Zhang; SIGCOMM 1998).
"""

import math
from dataclasses import dataclass, field

__all__ = ["RATE_DECAY_SECONDS", "DecayingRate", "TenantShares", "fair_rate"]

RATE_DECAY_SECONDS = 20.0
"""Decay time of the rates; long, as a daemon sees a small tenant's calls seconds apart."""

MAX_TENANTS = 1024
"""Tenants whose rates are kept; those with the lowest rates are dropped first."""

DECREASE_FACTOR = 0.8
"""Factor on `TenantShares.capacity_share` when a call within its tenant's share is refused for lack
of capacity."""

UNDERUSED_INCREASE_FACTOR = 1.25
"""Factor on it when a call beyond its tenant's share arrives while the limit is underused
(`ConcurrencyLimit.is_underused`)."""

MIN_DECREASE_INTERVAL_SECONDS = 0.05
"""Refusals closer together than this lower it only once: they have one cause."""

SOLE_TENANT_FACTOR = 1.05
"""A tenant counts as the only one, and is not limited, if all tenants together ask for at most this
many times what it asks for."""

MIN_CAPACITY_SHARE = 0.05
"""Lower bound of `capacity_share`, so that it can grow again."""

SEND_INCREASE_FACTOR = 1.02
"""Factor on it when a call is sent. Together with `DECREASE_FACTOR`: it falls only if more than
about one call in ten is refused."""

RECOVERY_RATE_PER_SECOND = 0.1
"""Exponential growth rate of `capacity_share` over time: it doubles in about seven seconds."""


@dataclass(slots=True)
class DecayingRate:
    """Amount per second over the last seconds, with exponential decay.

    Attributes
    ----------
    total : float
        Sum of the amounts, each decayed over `RATE_DECAY_SECONDS` until `at_seconds`.
    at_seconds : float
        Time of the last decay (monotonic).
    """

    total: float = 0.0
    at_seconds: float = 0.0

    def add(self, amount: float, now_seconds: float) -> None:
        """Add an amount."""
        self._advance_clock(now_seconds)
        self.total += amount

    def per_second(self, now_seconds: float) -> float:
        """Return the rate."""
        self._advance_clock(now_seconds)
        return self.total / RATE_DECAY_SECONDS

    def _advance_clock(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self.at_seconds)
        self.total *= math.exp(-elapsed_seconds / RATE_DECAY_SECONDS)
        self.at_seconds = now_seconds


def fair_rate(demands: list[float], served: float) -> float:
    """Return the max-min fair rate, up to which each demand is served.

    Parameters
    ----------
    demands : list of float
        What each tenant asks for, per second.
    served : float
        What all tenants get together, per second.

    Returns
    -------
    float
        Infinite if there is enough for all.
    """
    remaining = served
    ascending = sorted(demands)
    for served_count, rate in enumerate(ascending):
        fair_share = remaining / (len(ascending) - served_count)
        if rate > fair_share:
            return fair_share
        remaining -= rate
    return float("inf")


@dataclass(slots=True)
class TenantShares:
    """Demand and admitted work of the tenants of one rank at one service.

    Attributes
    ----------
    demand, served : dict of str to DecayingRate
        By tenant, the work asked for and the work sent, in seconds of work per second.
    capacity_share : float
        Part of the demand that there is capacity for; 1 while there is enough for all.
    """

    demand: dict[str, DecayingRate] = field(default_factory=dict)
    served: dict[str, DecayingRate] = field(default_factory=dict)
    capacity_share: float = 1.0
    _recovered_at_seconds: float = 0.0
    _decreased_at_seconds: float = float("-inf")

    def record_demand(self, tenant: str, work_seconds: float, now_seconds: float) -> None:
        """Add to a tenant's demand."""
        self._rate_of(self.demand, tenant, now_seconds).add(work_seconds, now_seconds)

    def record_send(self, tenant: str, work_seconds: float, now_seconds: float) -> None:
        """Add to a tenant's served work, and raise the capacity share a little."""
        self.capacity_share = min(1.0, self.capacity_share * SEND_INCREASE_FACTOR)
        self._rate_of(self.served, tenant, now_seconds).add(work_seconds, now_seconds)

    def record_shortage(self, now_seconds: float) -> None:
        """Lower the capacity share after refusing a call within its tenant's share."""
        self._recover_capacity_share(now_seconds)
        if now_seconds < self._decreased_at_seconds + MIN_DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at_seconds = now_seconds
        self.capacity_share = max(MIN_CAPACITY_SHARE, DECREASE_FACTOR * self.capacity_share)

    def record_unused_capacity(self) -> None:
        """Raise the capacity share: a call beyond its share met an underused limit."""
        self.capacity_share = min(1.0, self.capacity_share * UNDERUSED_INCREASE_FACTOR)

    def admitted_share(self, tenant: str, now_seconds: float) -> float:
        """Return the share of a tenant's calls that the fair rate admits, in [0, 1]."""
        self._recover_capacity_share(now_seconds)
        own_demand = self._rate_of(self.demand, tenant, now_seconds).per_second(now_seconds)
        demands = [rate.per_second(now_seconds) for rate in self.demand.values()]
        is_sole_tenant = sum(demands) <= own_demand * SOLE_TENANT_FACTOR
        if self.capacity_share >= 1.0 or own_demand <= 0.0 or is_sole_tenant:
            return 1.0
        return min(1.0, fair_rate(demands, self.capacity_share * sum(demands)) / own_demand)

    def _recover_capacity_share(self, now_seconds: float) -> None:
        """Raise the capacity share with the time passed."""
        elapsed_seconds = max(0.0, now_seconds - self._recovered_at_seconds)
        self._recovered_at_seconds = now_seconds
        # Later refusals have to count even if the clock steps back.
        self._decreased_at_seconds = min(self._decreased_at_seconds, now_seconds)
        factor = math.exp(RECOVERY_RATE_PER_SECOND * min(elapsed_seconds, RATE_DECAY_SECONDS))
        self.capacity_share = min(1.0, self.capacity_share * factor)

    def _rate_of(
        self, rates: dict[str, DecayingRate], tenant: str, now_seconds: float
    ) -> DecayingRate:
        if tenant not in rates and len(rates) >= MAX_TENANTS:
            del rates[min(rates, key=lambda name: rates[name].per_second(now_seconds))]
        return rates.setdefault(tenant, DecayingRate(at_seconds=now_seconds))
