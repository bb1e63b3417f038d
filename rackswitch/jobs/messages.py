"""A batch job and its results, as they are kept and passed between daemons."""

import msgspec

__all__ = ["MAX_ITEMS", "Job", "JobItem", "JobResult", "RewardCall", "check_job"]

MAX_ITEMS = 20_000
"""Items of one job: some twenty times the largest step that users expect (1,024 samples).
What is looked at for each item at every tick stays within a few milliseconds."""


class RewardCall(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The call that scores an item's text; it may be repeated."""

    request_id: str
    host: str
    path: str
    body: bytes


class JobItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One request of a batch job.

    Attributes
    ----------
    headers : tuple of (str, str)
        Passed on to the engine.
    expected_tokens : float
        The submitter's guess at the tokens that will come out; 0 if it gave none.
    group : str
        Items of one group share their prompt, and count only together.
    prompt_tokens : int
        Tokens of its prompt, which are part of `tokens`; 0 if its submitter did not say.
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
        With an item's path it gives the item's route.
    model : str
        The model that makes the items' texts; empty if the job names none.
    oldest_version : int
        The oldest version of the weights that may make any part of a text.
    wanted_groups : int
        How many whole groups the submitter waits for.
    submitted_at_unix_seconds : float
        When the job was first received; deadlines of the job count from here, on any
        daemon.
    tenant : str
        Who submitted it; empty if nobody was asked for a key.
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


class JobResult(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The end of one item; `completed` is false for an item that was given up.

    Attributes
    ----------
    versions : tuple of int
        Every version that made a part of the text, in order of appearance.
    score : str
        The reward call's answer; empty if the item has no reward call.
    """

    item_id: str
    completed: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


def check_job(job: Job) -> str | None:
    """Return why a job cannot be taken, naming the field, or None."""
    if not job.items:
        return "`items` is empty"
    seen: set[str] = set()
    for number, item in enumerate(job.items):
        if not item.item_id:
            return f"`items[{number}].id` is empty"
        if item.item_id in seen:
            return f"`items[{number}].id` {item.item_id!r} stands twice"
        seen.add(item.item_id)
        if not item.path.startswith("/"):
            return f"`items[{number}].path` must begin with a slash"
    return None
