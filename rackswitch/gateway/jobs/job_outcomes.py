"""Outcomes of writes of batch jobs to the key-value service."""

from dataclasses import dataclass

from rackswitch.jobs import JobCheckpoint, JobResult

__all__ = [
    "AppendConflict",
    "Appended",
    "JobCreated",
    "JobKnown",
    "JobNotStored",
    "JobTooLarge",
    "StoredCheckpoint",
]


@dataclass(frozen=True, slots=True)
class JobCreated:
    """The job is stored; `owner_revision` is the fencing number of its owner's writes."""

    owner_revision: int


@dataclass(frozen=True, slots=True)
class JobKnown:
    """The job was stored before."""


@dataclass(frozen=True, slots=True)
class JobTooLarge:
    """The job takes more chunks than one transaction can write."""

    detail: str


@dataclass(frozen=True, slots=True)
class JobNotStored:
    """The write was refused, or its outcome is unknown.

    Attributes
    ----------
    effect_unknown : bool
        True if the write may have taken effect or may do so later.
    lease_gone : bool
        True if the write was refused because the session's lease has expired.
    """

    detail: str
    effect_unknown: bool
    lease_gone: bool = False


@dataclass(frozen=True, slots=True)
class StoredCheckpoint:
    """A job's stored checkpoint and the revision of its entry; 0 if there is none."""

    checkpoint: JobCheckpoint | None
    revision: int


@dataclass(frozen=True, slots=True)
class Appended:
    """A segment is stored: the proposed one, or an earlier one at its position.

    Attributes
    ----------
    already_stored : bool
        Whether it is an earlier segment of this owner, which more segments may follow.
    """

    results: list[JobResult]
    already_stored: bool = False


@dataclass(frozen=True, slots=True)
class AppendConflict:
    """The writer no longer owns the job."""
