"""How long a batch job is stored after its submission."""

__all__ = ["is_expired"]

MAX_CLOCK_SKEW_SECONDS = 10.0
"""Added to each retention time, since another VM's clock dated the submission."""

OPEN_JOB_RETENTION_SECONDS = 86_400.0
"""Minimum retention of a job that its submitter has not ended; long enough to read it after a
night's outage."""


def is_expired(
    submitted_at_unix_seconds: float,
    ended: bool,
    keep_results_seconds: float,
    now_unix_seconds: float,
) -> bool:
    """Return whether a job's retention time is over.

    Parameters
    ----------
    submitted_at_unix_seconds : float
        When the job was submitted.
    ended : bool
        Whether its submitter has ended it; an open job is kept longer.
    keep_results_seconds : float
        How long after its submission a job can be read.
    now_unix_seconds : float
        This VM's Unix time.
    """
    age_seconds = now_unix_seconds - submitted_at_unix_seconds - MAX_CLOCK_SKEW_SECONDS
    retention_seconds = keep_results_seconds
    if not ended:
        retention_seconds = max(retention_seconds, OPEN_JOB_RETENTION_SECONDS)
    return age_seconds > retention_seconds
