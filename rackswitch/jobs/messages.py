"""Batch jobs and their results, as stored and as sent between daemons."""

import msgspec

__all__ = ["MAX_ITEMS", "Job", "JobItem", "JobResult", "RewardCall", "check_job"]

MAX_ITEMS = 20_000
"""Maximum number of items of a job: some twenty times the largest expected step (1,024 samples).
The work for each item at every tick stays within a few milliseconds."""


class RewardCall(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The call that scores an item's text. It may be repeated."""

    request_id: str
    host: str
    path: str
    body: bytes


class JobItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One request of a batch job.

    Attributes
    ----------
    headers : tuple of (str, str)
        Sent to the engine unchanged.
    expected_tokens : float
        The submitter's estimate of the number of output tokens; 0 if it gave none.
    group : str
        Items of one group share their prompt, and only complete groups count.
    prompt_tokens : int
        Tokens of the prompt, which are included in `tokens`; 0 if the submitter did not say.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    expected_tokens: float = 0.0
    group: str = ""
    reward: RewardCall | None = None
    prompt_tokens: int = 0


class Job(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A batch job as its submitter sent it.

    Attributes
    ----------
    host : str
        Determines an item's route, together with the item's path.
    model : str
        The model that generates the items' texts; empty if the job names none.
    oldest_version : int
        Oldest version of the weights that may generate any part of a text.
    wanted_groups : int
        Number of complete groups that the submitter waits for.
    submitted_at_unix_seconds : float
        When the job was first received. Its deadlines count from this time on every daemon.
    tenant : str
        The submitter's tenant; empty if no key was required.
    home_region : str
        Region of the daemon that accepted it; empty in a deployment with one region.
    """

    job_id: str
    host: str
    path: str
    items: tuple[JobItem, ...]
    model: str = ""
    step: int = 0
    oldest_version: int = 0
    wanted_groups: int = 0
    submitted_at_unix_seconds: float = 0.0
    tenant: str = ""
    home_region: str = ""


class JobResult(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The result of one item; `completed` is false for an item that was given up.

    Attributes
    ----------
    versions : tuple of int
        Versions of the weights that generated the text, in order of first use.
    score : str
        The answer of the reward call; empty if the item has no reward call.
    """

    item_id: str
    completed: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


def check_job(job: Job) -> str | None:
    """Return why a job is invalid, naming the field, or None if it is valid."""
    if not job.items:
        return "`items` is empty"
    seen_ids: set[str] = set()
    for index, item in enumerate(job.items):
        if not item.item_id:
            return f"`items[{index}].id` is empty"
        if item.item_id in seen_ids:
            return f"`items[{index}].id` {item.item_id!r} occurs more than once"
        seen_ids.add(item.item_id)
        if not item.path.startswith("/"):
            return f"`items[{index}].path` must begin with a slash"
    return None
