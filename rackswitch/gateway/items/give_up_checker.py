"""Gives up the items of owned jobs that can no longer run."""

from collections.abc import Iterable

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.jobs import ItemPhase, ItemProgress
from rackswitch.table import RouteRow
from rackswitch.telemetry.events import GiveUpPostponed, ItemGivenUp

__all__ = ["GiveUpChecker"]

ROUTE_GONE = "its route is gone"
KEEP_TIME_OVER = "it is past the time it is kept for"
TOO_MANY_FAILURES = "too many of its runs failed"


class GiveUpChecker:
    """Ends items by the table in force, once the table is known to be current.

    A listed result never changes, so an item that was given up by an outdated table would be lost
    although its route is in force. Until the table is confirmed the items wait, which costs nothing
    that cannot be made up for.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = ("_context", "_postponed")

    def __init__(self, context: GatewayContext):
        self._context = context
        self._postponed: dict[str, str] = {}

    def check(self, owned: OwnedJob, route: RouteRow | None, now_seconds: float) -> None:
        """Apply the route to a job, and give up its waiting items if there is a reason to.

        Parameters
        ----------
        owned : OwnedJob
            The job.
        route : RouteRow or None
            Its route by the table in force; None if the table has none.
        now_seconds : float
            The current time (monotonic).
        """
        if route is not None:
            owned.apply_route(route)
        ledger = owned.ledger
        ledger.settle_texts()
        reason = self._reason(owned, route, now_seconds)
        exhausted = ledger.exhausted_items()
        if self._context.table_confirmation.is_current(now_seconds, owned.owner_revision):
            self._postponed.pop(ledger.job.job_id, None)
            self._give_up(owned, exhausted, TOO_MANY_FAILURES)
            if reason:
                self._give_up(owned, ledger.items.values(), reason)
            return
        self._record_postponed(owned, reason or (TOO_MANY_FAILURES if exhausted else ""))

    def keep_only(self, job_ids: set[str]) -> None:
        """Forget the jobs that are no longer owned."""
        for job_id in self._postponed.keys() - job_ids:
            del self._postponed[job_id]

    def _reason(self, owned: OwnedJob, route: RouteRow | None, now_seconds: float) -> str:
        """Return why waiting items can no longer run; empty if they can."""
        if now_seconds >= owned.keep_until_seconds:
            return KEEP_TIME_OVER
        return ROUTE_GONE if route is None and self._context.table_revision else ""

    def _give_up(self, owned: OwnedJob, items: Iterable[ItemProgress], reason: str) -> None:
        for progress in items:
            if progress.phase is ItemPhase.WAITING:
                owned.ledger.give_up(progress)
                self._context.log.write(
                    ItemGivenUp(
                        job=owned.ledger.job.job_id,
                        item=progress.item.item_id,
                        reason=reason,
                        table_revision=self._context.table_revision,
                        table_age_seconds=self._context.table_age_seconds(),
                        confirmed_revision=self._context.table_confirmation.revision,
                        owner_revision=owned.owner_revision,
                    )
                )

    def _record_postponed(self, owned: OwnedJob, reason: str) -> None:
        """Log once why items wait for a current table; nothing without a reason."""
        job_id = owned.ledger.job.job_id
        if not reason or self._postponed.get(job_id) == reason:
            return
        self._postponed[job_id] = reason
        self._context.log.write(
            GiveUpPostponed(
                job=job_id,
                reason=reason,
                table_revision=self._context.table_revision,
                table_age_seconds=self._context.table_age_seconds(),
                confirmed_revision=self._context.table_confirmation.revision,
                owner_revision=owned.owner_revision,
            )
        )
