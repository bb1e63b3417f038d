"""Which tenants ask for more than their fair share while there is too little for all.

A room that holds few calls cannot even out what tenants with many calls want more than others:
that is done where calls come in. A tenant that asks for more than the fair rate gets through with
the share of its calls that the fair rate allows.

References
----------
"Core-Stateless Fair Queueing" (Stoica, Shenker, Zhang; SIGCOMM 1998).
"""

import math
from dataclasses import dataclass, field

__all__ = ["MEMORY_SECONDS", "DecayingRate", "TenantShares", "fair_rate"]

MEMORY_SECONDS = 20.0
"""Span of the rates; long, as one daemon sees a small tenant's calls seconds apart."""

MAX_TENANTS = 1024
"""Tenants whose rates are kept; those with the least are forgotten first."""

LOWER_FACTOR = 0.8
"""`TenantShares.room_share` is multiplied by it when a call within its share found no room."""

OPEN_FACTOR = 1.25
"""It is multiplied by this when a call beyond its share comes while the limit is idle
(`ConcurrencyLimit.is_idle`)."""

MOMENT_SECONDS = 0.05
"""Refusals so close to each other lower it only once: they have one reason."""

ALONE_FACTOR = 1.05
"""A tenant is alone, and is not cut, if all together want at most this many times what it wants."""

MIN_ROOM_SHARE = 0.05
"""Least `room_share`, so that it can grow again."""

RAISE_FACTOR = 1.02
"""It is multiplied by this when a call is sent. Against `LOWER_FACTOR`: it falls only if more than
about one call in ten finds no room."""

RAISE_SHARE_PER_SECOND = 0.1
"""How fast `room_share` grows by time alone: exponentially, doubling in about seven seconds."""


@dataclass(slots=True)
class DecayingRate:
    """Amount a second over the last seconds, older ones counting less.

    Attributes
    ----------
    total : float
        Sum of the amounts, each decayed over `MEMORY_SECONDS` until `at_seconds`.
    at_seconds : float
        Until when it has decayed (monotonic).
    """

    total: float = 0.0
    at_seconds: float = 0.0

    def add(self, amount: float, now_seconds: float) -> None:
        """Count an amount."""
        self._pass_time(now_seconds)
        self.total += amount

    def per_second(self, now_seconds: float) -> float:
        """Return the rate."""
        self._pass_time(now_seconds)
        return self.total / MEMORY_SECONDS

    def _pass_time(self, now_seconds: float) -> None:
        passed_seconds = max(0.0, now_seconds - self.at_seconds)
        self.total *= math.exp(-passed_seconds / MEMORY_SECONDS)
        self.at_seconds = now_seconds


def fair_rate(wanted: list[float], served: float) -> float:
    """Return the rate up to which each is served so that together they get what is served.

    Parameters
    ----------
    wanted : list of float
        What each asks for, a second.
    served : float
        What all get, a second.

    Returns
    -------
    float
        Infinite if there is enough for all.
    """
    left = served
    ascending = sorted(wanted)
    for position, rate in enumerate(ascending):
        share = left / (len(ascending) - position)
        if rate > share:
            return share
        left -= rate
    return float("inf")


@dataclass(slots=True)
class TenantShares:
    """What the tenants of one rank want and get of one service.

    Attributes
    ----------
    wanted, served : dict of str to DecayingRate
        By tenant, the work asked for and the work sent, in seconds of work a second.
    room_share : float
        Part of what is wanted that there is room for; 1 while there is enough for all.
    """

    wanted: dict[str, DecayingRate] = field(default_factory=dict)
    served: dict[str, DecayingRate] = field(default_factory=dict)
    room_share: float = 1.0
    _raised_at_seconds: float = 0.0
    _lowered_at_seconds: float = float("-inf")

    def asked(self, tenant: str, work_seconds: float, now_seconds: float) -> None:
        """Count what a tenant asks for."""
        self._rate(self.wanted, tenant, now_seconds).add(work_seconds, now_seconds)

    def sent(self, tenant: str, work_seconds: float, now_seconds: float) -> None:
        """Count what a tenant gets: as it found room, some more may be there."""
        self.room_share = min(1.0, self.room_share * RAISE_FACTOR)
        self._rate(self.served, tenant, now_seconds).add(work_seconds, now_seconds)

    def found_no_room(self, now_seconds: float) -> None:
        """Note that a call within its tenant's share found no room in time: less is there."""
        self._raise_room(now_seconds)
        if now_seconds < self._lowered_at_seconds + MOMENT_SECONDS:
            return
        self._lowered_at_seconds = now_seconds
        self.room_share = max(MIN_ROOM_SHARE, LOWER_FACTOR * self.room_share)

    def left_room(self) -> None:
        """Note that a call beyond its tenant's share was refused while there was room: more is."""
        self.room_share = min(1.0, self.room_share * OPEN_FACTOR)

    def pass_share(self, tenant: str, now_seconds: float) -> float:
        """Return the share of a tenant's calls that the fair rate lets through, in [0, 1]."""
        self._raise_room(now_seconds)
        own = self._rate(self.wanted, tenant, now_seconds).per_second(now_seconds)
        wanted = [rate.per_second(now_seconds) for rate in self.wanted.values()]
        is_alone = sum(wanted) <= own * ALONE_FACTOR
        if self.room_share >= 1.0 or own <= 0.0 or is_alone:
            return 1.0
        return min(1.0, fair_rate(wanted, self.room_share * sum(wanted)) / own)

    def _raise_room(self, now_seconds: float) -> None:
        """Try with time whether more is there."""
        passed_seconds = max(0.0, now_seconds - self._raised_at_seconds)
        self._raised_at_seconds = now_seconds
        # A clock that steps back must not keep later refusals from counting.
        self._lowered_at_seconds = min(self._lowered_at_seconds, now_seconds)
        factor = math.exp(RAISE_SHARE_PER_SECOND * min(passed_seconds, MEMORY_SECONDS))
        self.room_share = min(1.0, self.room_share * factor)

    def _rate(
        self, rates: dict[str, DecayingRate], tenant: str, now_seconds: float
    ) -> DecayingRate:
        if tenant not in rates and len(rates) >= MAX_TENANTS:
            del rates[min(rates, key=lambda name: rates[name].per_second(now_seconds))]
        return rates.setdefault(tenant, DecayingRate(at_seconds=now_seconds))
