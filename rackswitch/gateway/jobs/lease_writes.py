"""Writes on the session's lease, retried on a new lease if the old one has expired."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.store.session import Session

__all__ = ["MAX_LEASE_ATTEMPTS", "write_on_lease"]

MAX_LEASE_ATTEMPTS = 2
"""The first attempt may show that the lease has expired; the second uses a new one."""

T = TypeVar("T")


async def write_on_lease(
    session: Session, write: Callable[[int], Awaitable[T]]
) -> T | JobNotStored:
    """Make a write on the session's lease, and retry it on a new lease if that one has expired.

    After a suspension of its VM, a daemon may learn from the watch that its owner keys are deleted
    before its next renewal fails. The immediate retry lets it claim its jobs before other daemons.

    Parameters
    ----------
    session : Session
        Holds the lease.
    write : callable
        Makes the write with the given lease identity.
    """
    outcome: T | JobNotStored = JobNotStored(
        "no session with the key-value service", effect_unknown=False
    )
    for _ in range(MAX_LEASE_ATTEMPTS):
        lease_id = await session.acquire_lease()
        if lease_id is None:
            return JobNotStored("no session with the key-value service", effect_unknown=False)
        outcome = await write(lease_id)
        if not isinstance(outcome, JobNotStored) or not outcome.lease_gone:
            return outcome
        session.record_lease_lost(lease_id)
    return outcome
