"""All batch jobs and their owners, as last reported by the key-value service."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.gateway.jobs.job_records import (
    JOBS_PREFIX,
    OWNERS_PREFIX,
    JobMarker,
    job_key_part,
)
from rackswitch.leases import decode_holder

__all__ = ["JobOwner", "KnownJob", "KnownJobs"]


@dataclass(frozen=True, slots=True)
class KnownJob:
    """A job's marker and the revision of its entry."""

    marker: JobMarker
    revision: int


@dataclass(frozen=True, slots=True)
class JobOwner:
    """The daemon that owns a job, its lease, and the fencing number of its writes."""

    daemon: str
    revision: int
    lease_id: int


class KnownJobs:
    """The fleet's jobs as one daemon knows them.

    Owners are stored by the job's part of the key, since an owner may be reported before its job.

    Attributes
    ----------
    jobs : dict of str to KnownJob
        The jobs by identity. Ended ones are included until their markers are deleted.
    """

    __slots__ = ("_former_owners", "_owners", "jobs")

    def __init__(self) -> None:
        self._owners: dict[str, JobOwner] = {}
        self._former_owners: dict[str, str] = {}
        self.jobs: dict[str, KnownJob] = {}

    def marker(self, job_id: str) -> JobMarker | None:
        """Return a job's marker, if it is known."""
        known = self.jobs.get(job_id)
        return known.marker if known is not None else None

    def marker_revision(self, job_id: str) -> int:
        """Return the revision of a job's marker; 0 if it is not known."""
        known = self.jobs.get(job_id)
        return known.revision if known is not None else 0

    def job_id_of(self, key_part: str) -> str | None:
        """Return the job with this part in its keys, if it is known."""
        return next((job_id for job_id in self.jobs if job_key_part(job_id) == key_part), None)

    def marker_put(self, entry: KvEntry) -> JobMarker:
        """Apply a new or changed marker and return it."""
        marker = msgspec.json.decode(entry.value, type=JobMarker)
        self.jobs[marker.job_id] = KnownJob(marker, entry.mod_revision)
        return marker

    def marker_deleted(self, key: str) -> list[str]:
        """Apply the deletion of a marker; return the jobs that are removed with it."""
        key_part = key.removeprefix(JOBS_PREFIX)
        removed_ids = [job_id for job_id in self.jobs if job_key_part(job_id) == key_part]
        for job_id in removed_ids:
            del self.jobs[job_id]
        self._former_owners.pop(key_part, None)
        return removed_ids

    def record_created(self, marker: JobMarker, revision: int) -> None:
        """Record a job that was just created, unless the watch has reported it."""
        self.jobs.setdefault(marker.job_id, KnownJob(marker, revision))

    def record_owner(self, key_part: str, owner: JobOwner) -> None:
        """Record an owner that another daemon reported, unless a later one is known."""
        known = self._owners.get(key_part)
        if known is None or known.revision < owner.revision:
            self._owners[key_part] = owner

    def open_items(self) -> Counter[str]:
        """Return the number of items in open jobs, by owner."""
        counts: Counter[str] = Counter()
        for job_id, known in self.jobs.items():
            owner = self._owners.get(job_key_part(job_id))
            if owner is not None and not known.marker.ended:
                counts[owner.daemon] += known.marker.total
        return counts

    def last_submit_unix_seconds(self) -> dict[str, float]:
        """Return the submit time of the newest job of each current or former owner."""
        last_submits: dict[str, float] = {}
        for job_id, known in self.jobs.items():
            key_part = job_key_part(job_id)
            owner = self._owners.get(key_part)
            daemon = owner.daemon if owner is not None else self._former_owners.get(key_part)
            if daemon is not None:
                submitted_seconds = known.marker.submitted_at_unix_seconds
                last_submits[daemon] = max(last_submits.get(daemon, 0.0), submitted_seconds)
        return last_submits

    def record_ended(self, marker: JobMarker) -> None:
        """Record that a job was just ended."""
        known = self.jobs.get(marker.job_id)
        revision = known.revision if known is not None else 0
        ended_marker = msgspec.structs.replace(marker, ended=True)
        self.jobs[marker.job_id] = KnownJob(ended_marker, revision)

    def owner(self, key_part: str) -> JobOwner | None:
        """Return the owner of the job with this part in its keys, if it is known."""
        return self._owners.get(key_part)

    def owner_put(self, entry: KvEntry) -> JobOwner:
        """Apply a new or changed owner key and return the owner."""
        daemon, lease_id = decode_holder(entry.value)
        owner = JobOwner(daemon, entry.mod_revision, lease_id)
        self._owners[entry.key.removeprefix(OWNERS_PREFIX)] = owner
        return owner

    def owner_deleted(self, key: str) -> None:
        """Apply the deletion of an owner key."""
        key_part = key.removeprefix(OWNERS_PREFIX)
        owner = self._owners.pop(key_part, None)
        if owner is not None:
            self._former_owners[key_part] = owner.daemon

    def former_owner(self, key_part: str) -> str | None:
        """Return the last owner of a job whose owner key was deleted, if that is known."""
        return self._former_owners.get(key_part)

    def oldest_usable_version(self, model: str) -> int:
        """Return the oldest version of a model that all open jobs may use; 0 if none is open."""
        needs = [
            known.marker.oldest_version
            for known in self.jobs.values()
            if known.marker.model == model and not known.marker.ended
        ]
        return max(needs, default=0)
