"""How long a batch job is kept after it was submitted."""

__all__ = ["is_forgettable"]

CLOCK_SLACK_SECONDS = 10.0
"""Added to each time, since the submission was dated by another VM's clock."""

ABANDONED_SECONDS = 86_400.0
"""A job that nobody has ended is kept for a day: its submitter may come back for it after
a night's outage, and not later."""


def is_forgettable(
    submitted_at_unix_seconds: float,
    ended: bool,
    keep_results_seconds: float,
    now_unix_seconds: float,
) -> bool:
    """Return whether nobody may expect to read a job any more.

    Parameters
    ----------
    submitted_at_unix_seconds : float
        When the job was submitted.
    ended : bool
        Whether its submitter has ended it; an open job is kept much longer.
    keep_results_seconds : float
        How long after its submission a job can be read.
    now_unix_seconds : float
        This VM's time of day.
    """
    age_seconds = now_unix_seconds - submitted_at_unix_seconds - CLOCK_SLACK_SECONDS
    keep_seconds = keep_results_seconds
    if not ended:
        keep_seconds = max(keep_seconds, ABANDONED_SECONDS)
    return age_seconds > keep_seconds
