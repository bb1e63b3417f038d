"""The tenants' limits on this daemon, and loans of shares between daemons."""

import asyncio
import time
from dataclasses import dataclass

from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.heartbeats import Heartbeats, LimitShortage
from rackswitch.limits import (
    LOAN_LIFETIME_SECONDS,
    ConcurrencyLimit,
    LentShare,
    RateLimit,
    ShareLedger,
)
from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.peers import peers_pb2 as pb
from rackswitch.table import FleetRow, TenantRow

__all__ = ["LimitManager"]

TICK_SECONDS = 0.25
LEND_TIMEOUT_SECONDS = 1.0
LOAN_FACTOR = 2.0
"""Each lender offers this multiple of an equal part of the missing units."""

CONCURRENCY_RETRY_DELAY_SECONDS = 0.5


@dataclass(slots=True)
class _TenantLimits:
    rate: RateLimit
    concurrency: ConcurrencyLimit


class LimitManager:
    """Enforces limits and lends shares to daemons with more demand.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    heartbeats : Heartbeats
        Spreads shortages of limits.
    """

    __slots__ = ("_context", "_heartbeats", "_next_loan_seconds", "_sequence", "_tenants")

    def __init__(self, context: DaemonContext, heartbeats: Heartbeats):
        self._context = context
        self._heartbeats = heartbeats
        self._tenants: dict[str, _TenantLimits] = {}
        self._next_loan_seconds: dict[tuple[str, str], float] = {}
        # Starts above the numbers used before a restart, which peers would ignore as old.
        self._sequence = time.time_ns() // 1_000_000

    def try_acquire(self, tenant: TenantRow) -> NotRun | None:
        """Count the start of a request, or refuse it with the time for a retry."""
        limits = self._limits_of(tenant)
        now_seconds = self._context.now_seconds()
        rate_retry_at_seconds = limits.rate.try_take(now_seconds)
        if rate_retry_at_seconds is not None:
            return NotRun(NotRunReason.OVER_LIMIT, "over the rate limit", rate_retry_at_seconds)
        if not limits.concurrency.try_acquire(now_seconds):
            retry_at_seconds = now_seconds + CONCURRENCY_RETRY_DELAY_SECONDS
            return NotRun(NotRunReason.OVER_LIMIT, "over the concurrency limit", retry_at_seconds)
        return None

    def release(self, tenant: TenantRow) -> None:
        """Count the end of a request."""
        self._limits_of(tenant).concurrency.release()

    def borrow(self, lender: str, limit: str, loan_id: int, units: float, sequence: int) -> bool:
        """Accept a loan from a peer; return whether it can be used."""
        share_ledger = self._share_ledger(limit)
        if share_ledger is None:
            return False
        return share_ledger.borrow(lender, loan_id, units, sequence, self._context.now_seconds())

    async def run(self) -> None:
        """Announce shortages and lend to other daemons, periodically."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._announce_shortages()
            self._lend_for_shortages()

    def _daemon_slots(self) -> int:
        fleet = self._context.view.row(FleetRow, "fleet")
        return fleet.daemon_slots if fleet is not None else FleetRow(name="fleet").daemon_slots

    def _limits_of(self, tenant: TenantRow) -> _TenantLimits:
        slots = self._daemon_slots()
        limits = self._tenants.get(tenant.name)
        if limits is None:
            limits = _TenantLimits(
                RateLimit(ShareLedger(tenant.rate_per_second / slots)),
                ConcurrencyLimit(ShareLedger(tenant.concurrency / slots)),
            )
            self._tenants[tenant.name] = limits
        limits.rate.ledger.resize(tenant.rate_per_second / slots)
        limits.concurrency.ledger.resize(tenant.concurrency / slots)
        return limits

    def _share_ledger(self, limit: str) -> ShareLedger | None:
        kind, _, name = limit.partition("/")
        tenant = self._context.view.row(TenantRow, name)
        if tenant is None:
            return None
        limits = self._limits_of(tenant)
        return limits.rate.ledger if kind == "rate" else limits.concurrency.ledger

    def _announce_shortages(self) -> None:
        now_seconds = self._context.now_seconds()
        for name, limits in self._tenants.items():
            rate, concurrency = limits.rate, limits.concurrency
            missing_slots = concurrency.missing_units(now_seconds)
            self._announce(f"rate/{name}", rate.ledger, rate.missing_units(now_seconds))
            self._announce(f"concurrency/{name}", concurrency.ledger, missing_slots)

    def _announce(self, limit: str, share_ledger: ShareLedger, missing_units: float) -> None:
        if missing_units <= 0:
            return
        self._sequence += 1
        now_seconds = self._context.now_seconds()
        share_ledger.announce(self._sequence, now_seconds)
        deadline_seconds = now_seconds + 1.0
        own = self._context.settings.daemon
        shortage = LimitShortage(own, limit, missing_units, self._sequence, deadline_seconds)
        self._heartbeats.record_shortage(shortage)

    def _lend_for_shortages(self) -> None:
        now_seconds = self._context.now_seconds()
        for key, shortage in list(self._heartbeats.shortages.items()):
            is_own = shortage.daemon == self._context.settings.daemon
            is_expired = now_seconds >= shortage.deadline_seconds
            if is_own or is_expired or self._next_loan_seconds.get(key, 0.0) > now_seconds:
                continue
            loan = self._make_loan(shortage, now_seconds)
            if loan is not None:
                self._next_loan_seconds[key] = now_seconds + LOAN_LIFETIME_SECONDS / 3
                self._context.spawn(self._send_loan(shortage, loan))

    def _make_loan(self, shortage: LimitShortage, now_seconds: float) -> LentShare | None:
        share_ledger = self._share_ledger(shortage.limit)
        if share_ledger is None:
            return None
        name = shortage.limit.partition("/")[2]
        limits = self._tenants[name]
        is_rate = shortage.limit.startswith("rate/")
        used = limits.rate.demand(now_seconds) if is_rate else limits.concurrency.in_progress
        peer_count = max(1, len(self._context.membership.live()) - 1)
        offered_units = shortage.missing_units * LOAN_FACTOR / peer_count
        return share_ledger.lend(offered_units, float(used), now_seconds)

    async def _send_loan(self, shortage: LimitShortage, loan: LentShare) -> None:
        peer = self._context.membership.address(shortage.daemon)
        if peer is None:
            return
        message = pb.LendRequest(
            lender=self._context.settings.daemon,
            limit=shortage.limit,
            units=loan.units,
            hunger_sequence=shortage.sequence,
            loan=loan.loan_id,
        )
        await self._context.links.call(peer, lambda stub: stub.Lend, message, LEND_TIMEOUT_SECONDS)
