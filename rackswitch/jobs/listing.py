"""When the pending results of a job are listed."""

from rackswitch.jobs.ledger import JobLedger

__all__ = ["listing_interval_seconds"]

MIN_SEGMENT_INTERVAL_SECONDS = 0.5
"""Minimum interval between segments that do not complete a step. Each segment is a call to the
key-value service, and trainers poll about twice a second."""


def listing_interval_seconds(ledger: JobLedger) -> float:
    """Return the minimum interval between a job's last segment and its next one.

    Results that complete a trainer's step are listed at once: those that complete the last wanted
    group, or the last result if no number of groups is wanted.
    """
    return 0.0 if ledger.completes_step else MIN_SEGMENT_INTERVAL_SECONDS
