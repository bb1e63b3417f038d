"""Batch jobs in the key-value service.

A job consists of a small marker that every daemon watches, its items in one or
a few chunks, an owner key on the owner's session lease, and its results in
segments whose keys hold the position of their first result. A segment is
written only if it is absent and the owner key is the writer's, so positions
never change and a former owner cannot append.
"""

from collections.abc import Sequence

import msgspec

from rackswitch.clients.kv import (
    Compare,
    KvEntry,
    KvRead,
    KvUnavailable,
    Operation,
    TxnPart,
    TxnPartResult,
)
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_outcomes import (
    AppendConflict,
    Appended,
    JobCreated,
    JobKnown,
    JobNotStored,
    JobTooLarge,
    StoredCheckpoint,
)
from rackswitch.gateway.jobs.job_records import (
    ITEMS_PREFIX,
    JOBS_PREFIX,
    OWNERS_PREFIX,
    PROGRESS_PREFIX,
    RESULTS_PREFIX,
    JobMarker,
    job_key_part,
    make_marker,
    pack_checkpoint,
    pack_items,
    pack_results,
    unpack_checkpoint,
    unpack_items,
    unpack_results,
)
from rackswitch.jobs import Job, JobCheckpoint, JobResult
from rackswitch.leases import encode_holder

__all__ = ["JobStore"]

MAX_CHUNKS = 24
"""A transaction has at most 32 entries; some are for the marker, the owner and the conditions."""

MAX_DELETIONS = 30
"""Maximum number of keys deleted by one transaction, which has at most 32 entries."""


class JobStore:
    """Reads and writes jobs.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = ("_context",)

    def __init__(self, context: GatewayContext):
        self._context = context

    async def create(
        self, job: Job, lease_id: int
    ) -> JobCreated | JobKnown | JobTooLarge | JobNotStored:
        """Store a job and claim it, in one write."""
        key_part = job_key_part(job.job_id)
        chunks = await pack_items(job, self._context.settings.kv_most_value_bytes)
        if len(chunks) > MAX_CHUNKS:
            return JobTooLarge(f"the job needs {len(chunks)} chunks, at most {MAX_CHUNKS} fit")
        marker = make_marker(job)
        marker_key = JOBS_PREFIX + key_part
        operations = [
            Operation(marker_key, msgspec.json.encode(marker)),
            self._owner_put(key_part, lease_id),
        ]
        for number, chunk in enumerate(chunks):
            operations.append(Operation(f"{ITEMS_PREFIX}{key_part}/{number:02d}", chunk))
        part = TxnPart((Compare(marker_key, "mod", 0),), tuple(operations), (marker_key,))
        reply = await self._txn(part)
        if isinstance(reply, JobNotStored):
            return reply
        if reply.succeeded:
            return JobCreated(reply.revision)
        if reply.present is None:
            # Refused for another reason than an existing marker, so the job is not stored.
            return JobNotStored("the write was refused and no job exists", effect_unknown=False)
        return JobKnown()

    async def claim(
        self, job_id: str, marker_revision: int, lease_id: int, checkpoint_revision: int
    ) -> int | JobNotStored:
        """Claim a job that has no owner; return the owner revision, 0 if a condition failed.

        The same write deletes the former owner's checkpoint, if there is one at
        `checkpoint_revision`: its texts are stale once this owner's runs extend them.
        """
        key_part = job_key_part(job_id)
        compares = [
            Compare(OWNERS_PREFIX + key_part, "mod", 0),
            Compare(JOBS_PREFIX + key_part, "mod", marker_revision),
            Compare(PROGRESS_PREFIX + key_part, "mod", checkpoint_revision),
        ]
        operations = [self._owner_put(key_part, lease_id)]
        if checkpoint_revision:
            operations.append(Operation(PROGRESS_PREFIX + key_part, None))
        reply = await self._txn(TxnPart(tuple(compares), tuple(operations)))
        if isinstance(reply, JobNotStored):
            return reply
        return reply.revision if reply.succeeded else 0

    async def claim_and_append(
        self,
        job_id: str,
        owner_revision: int,
        marker_revision: int,
        lease_id: int,
        position: int | None = None,
        results: Sequence[JobResult] = (),
    ) -> int | JobNotStored:
        """Claim a job whose state is in memory and append results, in one write.

        The checkpoint is deleted unread. With a position, the write is refused if a result is
        stored there, since that was written by another owner or an earlier attempt.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Revision of the current owner key; 0 if the job must have no owner.
        marker_revision : int
            Revision of the job's marker, which changes when the job is ended. Compared only if
            the job must have no owner, since ending a job deletes the owner key.
        lease_id : int
            This daemon's session lease.
        position : int, optional
            Position after the last result in memory; None if more results may be stored.
        results : sequence of JobResult, optional
            Results to append at the position.

        Returns
        -------
        int or JobNotStored
            The owner revision; 0 if a condition failed.
        """
        key_part = job_key_part(job_id)
        compares = [Compare(OWNERS_PREFIX + key_part, "mod", owner_revision)]
        if not owner_revision:
            compares.append(Compare(JOBS_PREFIX + key_part, "mod", marker_revision))
        operations = [
            self._owner_put(key_part, lease_id),
            Operation(PROGRESS_PREFIX + key_part, None),
        ]
        if position is not None:
            key = f"{RESULTS_PREFIX}{key_part}/{position:08d}"
            compares.append(Compare(key, "mod", 0))
            if results:
                operations.append(Operation(key, pack_results(list(results))))
        reply = await self._txn(TxnPart(tuple(compares), tuple(operations)))
        if isinstance(reply, JobNotStored):
            return reply
        return reply.revision if reply.succeeded else 0

    async def release(
        self, job_id: str, owner_revision: int, checkpoint: JobCheckpoint | None = None
    ) -> bool:
        """Delete the owner key and store a checkpoint, so that another daemon can claim the job.

        Returns
        -------
        bool
            Whether the service answered; the owner key is then gone or another claim's.
        """
        key_part = job_key_part(job_id)
        key = OWNERS_PREFIX + key_part
        operations = [Operation(key, None)]
        if checkpoint is not None:
            operations.append(_checkpoint_put(key_part, checkpoint))
        answer = await self._txn(TxnPart((Compare(key, "mod", owner_revision),), tuple(operations)))
        return not isinstance(answer, JobNotStored)

    async def store_checkpoint(
        self, job_id: str, owner_revision: int, checkpoint: JobCheckpoint
    ) -> None:
        """Store a checkpoint under the owner's fencing number; a failure is ignored."""
        key_part = job_key_part(job_id)
        fence = Compare(OWNERS_PREFIX + key_part, "mod", owner_revision)
        await self._txn(TxnPart((fence,), (_checkpoint_put(key_part, checkpoint),)))

    async def load_checkpoint(self, job_id: str) -> StoredCheckpoint | KvUnavailable:
        """Read the checkpoint that a former owner stored."""
        read = await self._context.kv.read(PROGRESS_PREFIX + job_key_part(job_id))
        self._record_reply(read)
        if isinstance(read, KvUnavailable):
            return read
        if not read.entries:
            return StoredCheckpoint(None, 0)
        entry = read.entries[0]
        return StoredCheckpoint(unpack_checkpoint(entry.value), entry.mod_revision)

    async def load_items(self, job_id: str) -> Job | None | KvUnavailable:
        """Read a job with its items; None if there is no such job."""
        read = await self._read(f"{ITEMS_PREFIX}{job_key_part(job_id)}/")
        if isinstance(read, KvUnavailable):
            return read
        if not read.entries:
            return None
        return unpack_items(read.entries)

    async def load_results(
        self, job_id: str, from_position: int
    ) -> list[JobResult] | KvUnavailable:
        """Read the stored results, from the segment that starts at a position."""
        prefix = f"{RESULTS_PREFIX}{job_key_part(job_id)}/"
        after_key = f"{prefix}{from_position - 1:08d}" if from_position else ""
        read = await self._context.kv.read_from(prefix, after_key)
        self._record_reply(read)
        if isinstance(read, KvUnavailable):
            return read
        results: list[JobResult] = []
        for entry in sorted(read.entries, key=lambda entry: entry.key):
            results.extend(unpack_results(entry.value))
        return results

    async def load_marker(self, job_id: str) -> KvEntry | None | KvUnavailable:
        """Read a job's marker from the key-value service; None if there is no such job."""
        read = await self._context.kv.read(JOBS_PREFIX + job_key_part(job_id))
        self._record_reply(read)
        if isinstance(read, KvUnavailable):
            return read
        return read.entries[0] if read.entries else None

    async def load_owner(self, job_id: str) -> KvEntry | None | KvUnavailable:
        """Read a job's owner from the key-value service; None if it has none."""
        read = await self._context.kv.read(OWNERS_PREFIX + job_key_part(job_id))
        self._record_reply(read)
        if isinstance(read, KvUnavailable):
            return read
        return read.entries[0] if read.entries else None

    async def append(
        self, job_id: str, owner_revision: int, position: int, results: list[JobResult]
    ) -> Appended | AppendConflict | JobNotStored:
        """Store a segment of results under the owner's fencing number."""
        key_part = job_key_part(job_id)
        key = f"{RESULTS_PREFIX}{key_part}/{position:08d}"
        part = TxnPart(
            (
                Compare(key, "mod", 0),
                Compare(OWNERS_PREFIX + key_part, "mod", owner_revision),
            ),
            (Operation(key, pack_results(results)),),
        )
        reply = await self._txn(part)
        if isinstance(reply, JobNotStored):
            return reply
        if reply.succeeded:
            return Appended(results)
        return await self._settle_append(key, OWNERS_PREFIX + key_part, owner_revision)

    async def _settle_append(
        self, key: str, owner_key: str, owner_revision: int
    ) -> Appended | AppendConflict | JobNotStored:
        """Find out why a segment was refused.

        Either an earlier append of this owner took effect and its reply was lost, or the job has
        another owner. The segment is read first: if this daemon still owns the job afterwards, no
        other daemon can have written it.
        """
        segment = await self._context.kv.read(key)
        owner = await self._context.kv.read(owner_key)
        for read in (segment, owner):
            self._record_reply(read)
            if isinstance(read, KvUnavailable):
                return JobNotStored(read.detail, effect_unknown=False)
        assert isinstance(segment, KvRead) and isinstance(owner, KvRead)
        if not owner.entries or owner.entries[0].mod_revision != owner_revision:
            return AppendConflict()
        if not segment.entries:
            return JobNotStored("the append of a segment was refused", effect_unknown=False)
        return Appended(unpack_results(segment.entries[0].value), already_stored=True)

    async def end(self, marker: JobMarker) -> None | JobNotStored:
        """Mark a job as ended and delete its owner key, in one write."""
        key_part = job_key_part(marker.job_id)
        ended = msgspec.structs.replace(marker, ended=True)
        part = TxnPart(
            (),
            (
                Operation(JOBS_PREFIX + key_part, msgspec.json.encode(ended)),
                Operation(OWNERS_PREFIX + key_part, None),
                Operation(PROGRESS_PREFIX + key_part, None),
            ),
        )
        reply = await self._txn(part)
        return reply if isinstance(reply, JobNotStored) else None

    async def delete_job(self, job_id: str) -> KvUnavailable | None:
        """Delete all entries of a job.

        The marker is deleted last, so that an interrupted deletion is retried.
        """
        key_part = job_key_part(job_id)
        for prefix in (f"{ITEMS_PREFIX}{key_part}/", f"{RESULTS_PREFIX}{key_part}/"):
            read = await self._read(prefix)
            if isinstance(read, KvUnavailable):
                return read
            failure = await self._delete([entry.key for entry in read.entries])
            if failure is not None:
                return failure
        keys = [prefix + key_part for prefix in (PROGRESS_PREFIX, OWNERS_PREFIX, JOBS_PREFIX)]
        return await self._delete(keys)

    async def _delete(self, keys: list[str]) -> KvUnavailable | None:
        for start in range(0, len(keys), MAX_DELETIONS):
            chosen = keys[start : start + MAX_DELETIONS]
            part = TxnPart((), tuple(Operation(key, None) for key in chosen))
            reply = await self._context.kv.txn([part])
            self._record_reply(reply)
            if isinstance(reply, KvUnavailable):
                return reply
        return None

    def _owner_put(self, key_part: str, lease_id: int) -> Operation:
        owner = encode_holder(self._context.daemon_name, lease_id)
        return Operation(OWNERS_PREFIX + key_part, owner, lease_id)

    async def _read(self, prefix: str) -> KvRead | KvUnavailable:
        read = await self._context.kv.read(prefix, is_prefix=True)
        self._record_reply(read)
        return read

    async def _txn(self, part: TxnPart) -> TxnPartResult | JobNotStored:
        reply = await self._context.kv.txn([part])
        self._record_reply(reply)
        if isinstance(reply, KvUnavailable):
            return JobNotStored(reply.detail, reply.effect_unknown)
        if reply[0].lease_expired:
            return JobNotStored(
                "the session's lease has expired", effect_unknown=False, lease_gone=True
            )
        return reply[0]

    def _record_reply(self, reply: object) -> None:
        self._context.store_reachability.record_result(self._context.now_seconds(), reply)


def _checkpoint_put(key_part: str, checkpoint: JobCheckpoint) -> Operation:
    return Operation(PROGRESS_PREFIX + key_part, pack_checkpoint(checkpoint))
