"""How many engine slots the recent jobs of a service need."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["JobLoad", "wanted_slots"]

LAST_START_SHARE = 1 / 3
"""Share of a job's allowed time within which its last item has to begin. The rest is for the run of
the longest item, which takes up to two thirds of the 7.5 s that trainers allow."""


@dataclass(frozen=True, slots=True)
class JobLoad:
    """The work of one job.

    Attributes
    ----------
    work_seconds : float
        Sum of the run times of its items.
    """

    model: str
    work_seconds: float
    is_open: bool


def wanted_slots(jobs: Iterable[JobLoad], due_seconds: float) -> float:
    """Return how many concurrent runs let each trainer's steps complete in time.

    A trainer repeats steps of similar size, so each model's largest recent job stands for its next
    one, whether or not a job is open at present.

    Parameters
    ----------
    jobs : iterable of JobLoad
        The recent jobs, including ended ones.
    due_seconds : float
        Time within which a job has to be complete.
    """
    largest: dict[str, float] = {}
    for job in jobs:
        largest[job.model] = max(largest.get(job.model, 0.0), job.work_seconds)
    return sum(largest.values()) / (due_seconds * LAST_START_SHARE)
