"""The tenants' limits on this daemon, and loans to and from the others."""

import asyncio
import time
from dataclasses import dataclass

from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.heartbeats import Heartbeats, HungerNews
from rackswitch.limits import (
    LOAN_LIFE_SECONDS,
    ConcurrencyLimit,
    LentShare,
    RateLimit,
    ShareLedger,
)
from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.peers import peers_pb2 as pb
from rackswitch.table import FleetRow, TenantRow

__all__ = ["LimitKeeper"]

TICK_SECONDS = 0.25
LEND_TIMEOUT_SECONDS = 1.0
SPREAD_FACTOR = 2.0
"""How much more than an equal part of what is missing each lender gives."""

BUSY_RETRY_SECONDS = 0.5


@dataclass(slots=True)
class _TenantLimits:
    rate: RateLimit
    concurrency: ConcurrencyLimit


class LimitKeeper:
    """Checks limits and moves shares to where the demand is.

    Parameters
    ----------
    context : DaemonContext
        The daemon.
    heartbeats : Heartbeats
        Carries hunger.
    """

    __slots__ = ("_context", "_heartbeats", "_lent_to", "_sequence", "_tenants")

    def __init__(self, context: DaemonContext, heartbeats: Heartbeats):
        self._context = context
        self._heartbeats = heartbeats
        self._tenants: dict[str, _TenantLimits] = {}
        self._lent_to: dict[tuple[str, str], float] = {}
        # A restarted daemon must not announce with numbers that peers have heard before.
        self._sequence = time.time_ns() // 1_000_000

    def try_enter(self, tenant: TenantRow) -> NotRun | None:
        """Count a request in, or refuse it with the time to come back."""
        limits = self._limits_of(tenant)
        now_seconds = self._context.now_seconds()
        due_seconds = limits.rate.try_take(now_seconds)
        if due_seconds is not None:
            return NotRun(NotRunReason.OVER_LIMIT, "over the rate limit", due_seconds)
        if not limits.concurrency.try_enter(now_seconds):
            retry_at_seconds = now_seconds + BUSY_RETRY_SECONDS
            return NotRun(NotRunReason.OVER_LIMIT, "over the concurrency limit", retry_at_seconds)
        return None

    def leave(self, tenant: TenantRow) -> None:
        """Count a request out."""
        self._limits_of(tenant).concurrency.leave()

    def borrow(self, lender: str, limit: str, loan_id: int, units: float, sequence: int) -> bool:
        """Take a loan that a peer has sent; return whether it can be used."""
        book = self._book(limit)
        if book is None:
            return False
        return book.borrow(lender, loan_id, units, sequence, self._context.now_seconds())

    async def run(self) -> None:
        """Announce hunger and lend, several times a second."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._announce_hunger()
            self._lend_to_hungry()

    def _slots(self) -> int:
        fleet = self._context.view.row(FleetRow, "fleet")
        return fleet.daemon_slots if fleet is not None else FleetRow(name="fleet").daemon_slots

    def _limits_of(self, tenant: TenantRow) -> _TenantLimits:
        slots = self._slots()
        limits = self._tenants.get(tenant.name)
        if limits is None:
            limits = _TenantLimits(
                RateLimit(ShareLedger(tenant.rate_per_second / slots)),
                ConcurrencyLimit(ShareLedger(tenant.concurrency / slots)),
            )
            self._tenants[tenant.name] = limits
        limits.rate.book.resize(tenant.rate_per_second / slots)
        limits.concurrency.book.resize(tenant.concurrency / slots)
        return limits

    def _book(self, limit: str) -> ShareLedger | None:
        kind, _, name = limit.partition("/")
        tenant = self._context.view.row(TenantRow, name)
        if tenant is None:
            return None
        limits = self._limits_of(tenant)
        return limits.rate.book if kind == "rate" else limits.concurrency.book

    def _announce_hunger(self) -> None:
        now_seconds = self._context.now_seconds()
        for name, limits in self._tenants.items():
            rate, concurrency = limits.rate, limits.concurrency
            missing_places = concurrency.missing_units(now_seconds)
            self._announce(f"rate/{name}", rate.book, rate.missing_units(now_seconds))
            self._announce(f"concurrency/{name}", concurrency.book, missing_places)

    def _announce(self, limit: str, book: ShareLedger, missing_units: float) -> None:
        if missing_units <= 0:
            return
        self._sequence += 1
        now_seconds = self._context.now_seconds()
        book.announce(self._sequence, now_seconds)
        deadline_seconds = now_seconds + 1.0
        own = self._context.settings.daemon
        news = HungerNews(own, limit, missing_units, self._sequence, deadline_seconds)
        self._heartbeats.note_hunger(news)

    def _lend_to_hungry(self) -> None:
        now_seconds = self._context.now_seconds()
        for key, news in list(self._heartbeats.hungers.items()):
            own = news.daemon == self._context.settings.daemon
            ended = now_seconds >= news.deadline_seconds
            if own or ended or self._lent_to.get(key, 0.0) > now_seconds:
                continue
            loan = self._make_loan(news, now_seconds)
            if loan is not None:
                self._lent_to[key] = now_seconds + LOAN_LIFE_SECONDS / 3
                self._context.spawn(self._send_loan(news, loan))

    def _make_loan(self, news: HungerNews, now_seconds: float) -> LentShare | None:
        book = self._book(news.limit)
        if book is None:
            return None
        name = news.limit.partition("/")[2]
        limits = self._tenants[name]
        is_rate = news.limit.startswith("rate/")
        used = limits.rate.demand(now_seconds) if is_rate else limits.concurrency.in_progress
        others = max(1, len(self._context.membership.live()) - 1)
        wanted_units = news.missing_units * SPREAD_FACTOR / others
        return book.lend(wanted_units, float(used), now_seconds)

    async def _send_loan(self, news: HungerNews, loan: LentShare) -> None:
        peer = self._context.membership.address(news.daemon)
        if peer is None:
            return
        message = pb.LendRequest(
            lender=self._context.settings.daemon,
            limit=news.limit,
            units=loan.units,
            hunger_sequence=news.sequence,
            loan=loan.loan_id,
        )
        await self._context.links.call(peer, lambda stub: stub.Lend, message, LEND_TIMEOUT_SECONDS)
