"""Deletion of old jobs whose retention time is over."""

import asyncio
import time

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_records import job_key_part
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.jobs import is_expired
from rackswitch.leases import rank_candidates
from rackswitch.telemetry.events import JobExpired

__all__ = ["JobCleaner"]

CLEAN_INTERVAL_SECONDS = 2.0
"""Interval between two deletions by one daemon. A trainer submits a job about every 4 s, and all
daemons share the work."""


class JobCleaner:
    """Deletes old jobs from the key-value service, each by one daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    known : KnownJobs
        All jobs of the fleet.
    store : JobStore
        Jobs in the key-value service.
    """

    __slots__ = ("_context", "_known", "_store")

    def __init__(self, context: GatewayContext, known: KnownJobs, store: JobStore):
        self._context = context
        self._known = known
        self._store = store

    async def run(self) -> None:
        """Delete one old job after the other until cancelled."""
        while True:
            await asyncio.sleep(CLEAN_INTERVAL_SECONDS * (0.5 + self._context.rng.random()))
            if self._context.daemon.stopping or self._context.store_reachability.is_unreachable:
                continue
            job_id = self._next_job()
            if job_id is not None:
                await self._delete(job_id)

    def _next_job(self) -> str | None:
        """Return an old job that this daemon is to delete, the first by rank among live daemons."""
        live = self._context.daemon.membership.live()
        now_unix_seconds = time.time()
        for job_id, known in self._known.jobs.items():
            marker = known.marker
            is_old = is_expired(
                marker.submitted_at_unix_seconds,
                marker.ended,
                self._context.settings.keep_results_seconds,
                now_unix_seconds,
            )
            if is_old and rank_candidates(job_key_part(job_id), live)[:1] == [
                self._context.daemon_name
            ]:
                return job_id
        return None

    async def _delete(self, job_id: str) -> None:
        failure = await self._store.delete_job(job_id)
        outcome = failure.detail if isinstance(failure, KvUnavailable) else "forgotten"
        self._context.log.write(JobExpired(job=job_id, outcome=outcome))
