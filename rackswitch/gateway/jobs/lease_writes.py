"""Writes that make this daemon the owner of a job, on a lease that lasts."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.store.session import Session

__all__ = ["LEASES_TRIED", "write_on_lease"]

LEASES_TRIED = 2
"""Tries of one write: the first may show that the lease is over; the second is on a new one."""

T = TypeVar("T")


async def write_on_lease(
    session: Session, write: Callable[[int], Awaitable[T]]
) -> T | JobNotStored:
    """Make a write on the session's lease, and once more on a new one if that is over.

    A daemon often sees that its owner key is gone before its next renewal tells why, as when its
    machine was suspended. By the time of another look at the job other daemons would have taken
    it from a daemon that lives and has its texts.

    Parameters
    ----------
    session : Session
        Holds the lease.
    write : callable
        Makes the write on the lease of the given identity.
    """
    outcome: T | JobNotStored = JobNotStored("no session", effect_unknown=False)
    for _ in range(LEASES_TRIED):
        lease_id = await session.hold()
        if lease_id is None:
            return JobNotStored("no session with the key-value service", effect_unknown=False)
        outcome = await write(lease_id)
        if not isinstance(outcome, JobNotStored) or not outcome.lease_gone:
            return outcome
        session.over(lease_id)
    return outcome
