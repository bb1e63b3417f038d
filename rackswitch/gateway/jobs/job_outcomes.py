"""How writes of batch jobs to the key-value service end."""

from dataclasses import dataclass

from rackswitch.jobs import JobCheckpoint, JobResult

__all__ = [
    "AppendConflict",
    "Appended",
    "JobCreated",
    "JobKnown",
    "JobNotStored",
    "JobTooLarge",
    "KeptCheckpoint",
]


@dataclass(frozen=True, slots=True)
class JobCreated:
    """The job is kept; `owner_revision` fences its owner's writes."""

    owner_revision: int


@dataclass(frozen=True, slots=True)
class JobKnown:
    """The job was kept before."""


@dataclass(frozen=True, slots=True)
class JobTooLarge:
    """The job does not fit."""

    detail: str


@dataclass(frozen=True, slots=True)
class JobNotStored:
    """The service did not take the write.

    Attributes
    ----------
    effect_unknown : bool
        True if the write may have taken effect, or may still.
    lease_gone : bool
        True if it was refused since the lease that it named is over.
    """

    detail: str
    effect_unknown: bool
    lease_gone: bool = False


@dataclass(frozen=True, slots=True)
class KeptCheckpoint:
    """A job's checkpoint in the service, and its entry's revision; 0 if there is none."""

    checkpoint: JobCheckpoint | None
    revision: int


@dataclass(frozen=True, slots=True)
class Appended:
    """A segment is kept: the one proposed, or an earlier proposal of this owner."""

    results: list[JobResult]


@dataclass(frozen=True, slots=True)
class AppendConflict:
    """The writer does not own the job any more."""
