"""All batch jobs and their owners, as the key-value service last told them."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.gateway.jobs.job_records import (
    JOBS_PREFIX,
    OWNERS_PREFIX,
    JobMarker,
    key_part,
)
from rackswitch.leases import decode_holder

__all__ = ["JobOwner", "KnownJob", "KnownJobs"]


@dataclass(frozen=True, slots=True)
class KnownJob:
    """A job's marker, and the revision of its entry."""

    marker: JobMarker
    revision: int


@dataclass(frozen=True, slots=True)
class JobOwner:
    """The daemon that owns a job, its lease, and the revision that fences its writes."""

    daemon: str
    revision: int
    lease_id: int


class KnownJobs:
    """What one daemon knows of the fleet's jobs.

    Owners are kept by the key's part that stands for the job: an owner may be told of
    before its job is.

    Attributes
    ----------
    jobs : dict of str to KnownJob
        The jobs by identity, ended ones included until the service forgets them.
    """

    __slots__ = ("_former", "_owners", "jobs")

    def __init__(self) -> None:
        self._owners: dict[str, JobOwner] = {}
        self._former: dict[str, str] = {}
        self.jobs: dict[str, KnownJob] = {}

    def marker(self, job_id: str) -> JobMarker | None:
        """Return a job's marker, if it is known."""
        known = self.jobs.get(job_id)
        return known.marker if known is not None else None

    def marker_revision(self, job_id: str) -> int:
        """Return the revision of a job's marker; 0 if it is not known."""
        known = self.jobs.get(job_id)
        return known.revision if known is not None else 0

    def job_of(self, name: str) -> str | None:
        """Return the job that a key's part stands for, if it is known."""
        return next((job_id for job_id in self.jobs if key_part(job_id) == name), None)

    def marker_put(self, entry: KvEntry) -> JobMarker:
        """Take in a job's marker and return it."""
        marker = msgspec.json.decode(entry.value, type=JobMarker)
        self.jobs[marker.job_id] = KnownJob(marker, entry.mod_revision)
        return marker

    def marker_deleted(self, key: str) -> list[str]:
        """Note that a marker is gone; return the jobs that are forgotten with it."""
        name = key.removeprefix(JOBS_PREFIX)
        forgotten = [job_id for job_id in self.jobs if key_part(job_id) == name]
        for job_id in forgotten:
            del self.jobs[job_id]
        self._former.pop(name, None)
        return forgotten

    def created(self, marker: JobMarker, revision: int) -> None:
        """Note a job that was just created, unless the service has told of it already."""
        self.jobs.setdefault(marker.job_id, KnownJob(marker, revision))

    def owned_by(self, name: str, owner: JobOwner) -> None:
        """Note an owner that another daemon told of, unless the service told a later one."""
        known = self._owners.get(name)
        if known is None or known.revision < owner.revision:
            self._owners[name] = owner

    def open_items(self) -> Counter[str]:
        """Return how many items of jobs that have not ended each daemon owns."""
        counts: Counter[str] = Counter()
        for job_id, known in self.jobs.items():
            owner = self._owners.get(key_part(job_id))
            if owner is not None and not known.marker.ended:
                counts[owner.daemon] += known.marker.total
        return counts

    def newest_jobs(self) -> dict[str, float]:
        """Return when (Unix time) the last job was submitted that each daemon owns or owned."""
        newest: dict[str, float] = {}
        for job_id, known in self.jobs.items():
            name = key_part(job_id)
            owner = self._owners.get(name)
            daemon = owner.daemon if owner is not None else self._former.get(name)
            if daemon is not None:
                at_seconds = known.marker.submitted_at_unix_seconds
                newest[daemon] = max(newest.get(daemon, 0.0), at_seconds)
        return newest

    def ended(self, marker: JobMarker) -> None:
        """Note that a job was just ended."""
        known = self.jobs.get(marker.job_id)
        revision = known.revision if known is not None else 0
        over = msgspec.structs.replace(marker, ended=True)
        self.jobs[marker.job_id] = KnownJob(over, revision)

    def owner(self, name: str) -> JobOwner | None:
        """Return the owner of the job that a key's part stands for, if it is known."""
        return self._owners.get(name)

    def owner_put(self, entry: KvEntry) -> JobOwner:
        """Take in who owns a job and return it."""
        daemon, lease_id = decode_holder(entry.value)
        owner = JobOwner(daemon, entry.mod_revision, lease_id)
        self._owners[entry.key.removeprefix(OWNERS_PREFIX)] = owner
        return owner

    def owner_deleted(self, key: str) -> None:
        """Note that a job has no owner."""
        name = key.removeprefix(OWNERS_PREFIX)
        owner = self._owners.pop(name, None)
        if owner is not None:
            self._former[name] = owner.daemon

    def former_owner(self, name: str) -> str | None:
        """Return the daemon that owned a job before it had no owner, if that is known."""
        return self._former.get(name)

    def oldest_usable_version(self, model: str) -> int:
        """Return the oldest version of a model that all open jobs may use; 0 if none is open."""
        needs = [
            known.marker.oldest_version
            for known in self.jobs.values()
            if known.marker.model == model and not known.marker.ended
        ]
        return max(needs, default=0)
