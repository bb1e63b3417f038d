"""What the open jobs and the next ones need of a service's engines."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["JobLoad", "wanted_slots"]

BEGIN_SHARE = 1 / 3
"""Part of a job's time within which its last item should begin. A step is whole with its longest
text, which takes up to two thirds of the 7.5 s that trainers allow on the users' sheets."""


@dataclass(frozen=True, slots=True)
class JobLoad:
    """One job as every daemon knows it.

    Attributes
    ----------
    work_seconds : float
        How long its texts take, added up over its items.
    """

    model: str
    work_seconds: float
    is_open: bool


def wanted_slots(jobs: Iterable[JobLoad], due_seconds: float) -> float:
    """Return how many runs at once let every trainer's steps be whole in time.

    A trainer asks for a step like its last ones again and again, so that each model's largest
    recent job stands for the next one, whether it is open at this moment or not.

    Parameters
    ----------
    jobs : iterable of JobLoad
        The recent jobs, ended ones included.
    due_seconds : float
        Time within which a job is to be whole.
    """
    largest: dict[str, float] = {}
    for job in jobs:
        largest[job.model] = max(largest.get(job.model, 0.0), job.work_seconds)
    return sum(largest.values()) / (due_seconds * BEGIN_SHARE)
