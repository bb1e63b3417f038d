"""When ready results of a job are listed."""

from rackswitch.jobs.ledger import JobLedger

__all__ = ["listing_pause_seconds"]

READ_SECONDS = 0.5
"""Least time between two segments of results that decide nothing: trainers read about twice a
second, and each segment is a call to the key-value service."""


def listing_pause_seconds(ledger: JobLedger) -> float:
    """Return how long after its last segment a job's ready results are listed.

    What a trainer's step waits for is listed at once: the result that makes the last wanted group
    whole, or the last of all where none is wanted.
    """
    return 0.0 if ledger.decides_step else READ_SECONDS
