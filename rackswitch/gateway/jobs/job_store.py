"""Batch jobs in the key-value service.

A job has a small marker that every daemon watches, its items in one or a few
chunks, an owner key on the owner's session lease, and its results in segments
whose keys carry the position of their first result. A segment is written only
where it is absent and only while the owner key is the writer's own, so
positions never move and a former owner cannot append.
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
    TxnPartDone,
)
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_outcomes import (
    AppendConflict,
    Appended,
    JobCreated,
    JobKnown,
    JobNotStored,
    JobTooLarge,
    KeptCheckpoint,
)
from rackswitch.gateway.jobs.job_records import (
    ITEMS_PREFIX,
    JOBS_PREFIX,
    OWNERS_PREFIX,
    PROGRESS_PREFIX,
    RESULTS_PREFIX,
    JobMarker,
    key_part,
    marker_of,
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
"""A call takes 32 entries; some are for the marker, the owner and the conditions."""

MAX_DELETIONS = 30
"""Keys that one call deletes; it takes 32 entries."""


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
        """Keep a job and own it, in one write."""
        part_name = key_part(job.job_id)
        chunks = await pack_items(job, self._context.settings.kv_most_value_bytes)
        if len(chunks) > MAX_CHUNKS:
            return JobTooLarge(f"the job takes {len(chunks)} chunks, at most {MAX_CHUNKS} fit")
        marker = marker_of(job)
        marker_key = JOBS_PREFIX + part_name
        operations = [
            Operation(marker_key, msgspec.json.encode(marker)),
            self._owner_put(part_name, lease_id),
        ]
        for number, chunk in enumerate(chunks):
            operations.append(Operation(f"{ITEMS_PREFIX}{part_name}/{number:02d}", chunk))
        part = TxnPart((Compare(marker_key, "mod", 0),), tuple(operations), (marker_key,))
        done = await self._txn(part)
        if isinstance(done, JobNotStored):
            return done
        if done.succeeded:
            return JobCreated(done.revision)
        if done.present is None:
            # Whatever stood in the way, it was not this job: its submitter must not be
            # told that it is kept.
            return JobNotStored("the job was not taken and is not there", effect_unknown=False)
        return JobKnown()

    async def claim(
        self, job_id: str, marker_revision: int, lease_id: int, checkpoint_revision: int
    ) -> int | JobNotStored:
        """Become the owner of a job that has none; return the owner revision, 0 if too late.

        The former owner's checkpoint, if there is one at `checkpoint_revision`, is taken
        away in the same write: nobody else may go on with these texts, which this owner's
        own runs make longer from now on.
        """
        part_name = key_part(job_id)
        compares = [
            Compare(OWNERS_PREFIX + part_name, "mod", 0),
            Compare(JOBS_PREFIX + part_name, "mod", marker_revision),
            Compare(PROGRESS_PREFIX + part_name, "mod", checkpoint_revision),
        ]
        operations = [self._owner_put(part_name, lease_id)]
        if checkpoint_revision:
            operations.append(Operation(PROGRESS_PREFIX + part_name, None))
        done = await self._txn(TxnPart(tuple(compares), tuple(operations)))
        if isinstance(done, JobNotStored):
            return done
        return done.revision if done.succeeded else 0

    async def claim_held(
        self,
        job_id: str,
        owner_revision: int,
        marker_revision: int,
        lease_id: int,
        position: int | None = None,
        results: Sequence[JobResult] = (),
    ) -> int | JobNotStored:
        """Become the owner of a job whose state is at hand, and list results, in one write.

        What a checkpoint holds is at hand too, so that it goes unread. With a position the write is
        done only if no result is kept there: one that is there is another owner's, or an earlier
        try's, and is not at hand.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Of the ownership that this one follows; 0 if the job must have no owner.
        marker_revision : int
            Of the job's marker, which changes when the job is ended; looked at only where there
            must be no owner, since the end takes the owner away.
        lease_id : int
            This daemon's session.
        position : int, optional
            Behind the last result at hand; None if results may be kept that are not at hand.
        results : sequence of JobResult, optional
            What is ready to be listed at the position.

        Returns
        -------
        int or JobNotStored
            The owner revision; 0 if a condition did not hold.
        """
        part_name = key_part(job_id)
        compares = [Compare(OWNERS_PREFIX + part_name, "mod", owner_revision)]
        if not owner_revision:
            compares.append(Compare(JOBS_PREFIX + part_name, "mod", marker_revision))
        operations = [
            self._owner_put(part_name, lease_id),
            Operation(PROGRESS_PREFIX + part_name, None),
        ]
        if position is not None:
            key = f"{RESULTS_PREFIX}{part_name}/{position:08d}"
            compares.append(Compare(key, "mod", 0))
            if results:
                operations.append(Operation(key, pack_results(list(results))))
        done = await self._txn(TxnPart(tuple(compares), tuple(operations)))
        if isinstance(done, JobNotStored):
            return done
        return done.revision if done.succeeded else 0

    async def release(
        self, job_id: str, owner_revision: int, checkpoint: JobCheckpoint | None = None
    ) -> None:
        """Stop owning a job, so that another daemon takes it at once and goes on with it."""
        part_name = key_part(job_id)
        key = OWNERS_PREFIX + part_name
        operations = [Operation(key, None)]
        if checkpoint is not None:
            operations.append(_progress_put(part_name, checkpoint))
        await self._txn(TxnPart((Compare(key, "mod", owner_revision),), tuple(operations)))

    async def keep_checkpoint(
        self, job_id: str, owner_revision: int, checkpoint: JobCheckpoint
    ) -> None:
        """Keep unfinished texts, under the owner's fence; that may fail, as it is only a help."""
        part_name = key_part(job_id)
        fence = Compare(OWNERS_PREFIX + part_name, "mod", owner_revision)
        await self._txn(TxnPart((fence,), (_progress_put(part_name, checkpoint),)))

    async def load_checkpoint(self, job_id: str) -> KeptCheckpoint | KvUnavailable:
        """Read the unfinished texts that a former owner left."""
        read = await self._context.kv.read(PROGRESS_PREFIX + key_part(job_id))
        self._note(read)
        if isinstance(read, KvUnavailable):
            return read
        if not read.entries:
            return KeptCheckpoint(None, 0)
        entry = read.entries[0]
        return KeptCheckpoint(unpack_checkpoint(entry.value), entry.mod_revision)

    async def load_items(self, job_id: str) -> Job | None | KvUnavailable:
        """Read a job with its items; None if it is not there."""
        read = await self._read(f"{ITEMS_PREFIX}{key_part(job_id)}/")
        if isinstance(read, KvUnavailable):
            return read
        if not read.entries:
            return None
        return unpack_items(read.entries)

    async def load_results(
        self, job_id: str, from_position: int
    ) -> list[JobResult] | KvUnavailable:
        """Read the results that are kept, from the segment that starts at a position on."""
        prefix = f"{RESULTS_PREFIX}{key_part(job_id)}/"
        after_key = f"{prefix}{from_position - 1:08d}" if from_position else ""
        read = await self._context.kv.read_from(prefix, after_key)
        self._note(read)
        if isinstance(read, KvUnavailable):
            return read
        results: list[JobResult] = []
        for entry in sorted(read.entries, key=lambda entry: entry.key):
            results.extend(unpack_results(entry.value))
        return results

    async def load_marker(self, job_id: str) -> KvEntry | None | KvUnavailable:
        """Read a job's marker from the service itself; None if there is no such job."""
        read = await self._context.kv.read(JOBS_PREFIX + key_part(job_id))
        self._note(read)
        if isinstance(read, KvUnavailable):
            return read
        return read.entries[0] if read.entries else None

    async def load_owner(self, job_id: str) -> KvEntry | None | KvUnavailable:
        """Read a job's owner from the service itself; None if it has none."""
        read = await self._context.kv.read(OWNERS_PREFIX + key_part(job_id))
        self._note(read)
        if isinstance(read, KvUnavailable):
            return read
        return read.entries[0] if read.entries else None

    async def append(
        self, job_id: str, owner_revision: int, position: int, results: list[JobResult]
    ) -> Appended | AppendConflict | JobNotStored:
        """Keep a segment of results, under the owner's fence."""
        part_name = key_part(job_id)
        key = f"{RESULTS_PREFIX}{part_name}/{position:08d}"
        part = TxnPart(
            (
                Compare(key, "mod", 0),
                Compare(OWNERS_PREFIX + part_name, "mod", owner_revision),
            ),
            (Operation(key, pack_results(results)),),
        )
        done = await self._txn(part)
        if isinstance(done, JobNotStored):
            return done
        if done.succeeded:
            return Appended(results)
        return await self._settle_append(key, OWNERS_PREFIX + part_name, owner_revision)

    async def _settle_append(
        self, key: str, owner_key: str, owner_revision: int
    ) -> Appended | AppendConflict | JobNotStored:
        """Find out why a segment was not taken.

        Either an earlier try of this owner took effect though its answer was lost, or the
        job has another owner. The segment is read first: if the job is still this owner's
        after that, nobody else can have written it.
        """
        segment = await self._context.kv.read(key)
        owner = await self._context.kv.read(owner_key)
        for read in (segment, owner):
            self._note(read)
            if isinstance(read, KvUnavailable):
                return JobNotStored(read.detail, effect_unknown=False)
        assert isinstance(segment, KvRead) and isinstance(owner, KvRead)
        if not owner.entries or owner.entries[0].mod_revision != owner_revision:
            return AppendConflict()
        if not segment.entries:
            return JobNotStored("the segment was not taken", effect_unknown=False)
        return Appended(unpack_results(segment.entries[0].value), was_there=True)

    async def end(self, marker: JobMarker) -> None | JobNotStored:
        """Mark a job as ended and take its owner away, in one write."""
        part_name = key_part(marker.job_id)
        ended = msgspec.structs.replace(marker, ended=True)
        part = TxnPart(
            (),
            (
                Operation(JOBS_PREFIX + part_name, msgspec.json.encode(ended)),
                Operation(OWNERS_PREFIX + part_name, None),
                Operation(PROGRESS_PREFIX + part_name, None),
            ),
        )
        done = await self._txn(part)
        return done if isinstance(done, JobNotStored) else None

    async def forget(self, job_id: str) -> KvUnavailable | None:
        """Delete all of a job.

        Its marker goes last, so that a deletion that fails halfway is found and gone on with.
        """
        part_name = key_part(job_id)
        for prefix in (f"{ITEMS_PREFIX}{part_name}/", f"{RESULTS_PREFIX}{part_name}/"):
            read = await self._read(prefix)
            if isinstance(read, KvUnavailable):
                return read
            failure = await self._delete([entry.key for entry in read.entries])
            if failure is not None:
                return failure
        keys = [prefix + part_name for prefix in (PROGRESS_PREFIX, OWNERS_PREFIX, JOBS_PREFIX)]
        return await self._delete(keys)

    async def _delete(self, keys: list[str]) -> KvUnavailable | None:
        for start in range(0, len(keys), MAX_DELETIONS):
            chosen = keys[start : start + MAX_DELETIONS]
            part = TxnPart((), tuple(Operation(key, None) for key in chosen))
            done = await self._context.kv.txn([part])
            self._note(done)
            if isinstance(done, KvUnavailable):
                return done
        return None

    def _owner_put(self, part_name: str, lease_id: int) -> Operation:
        owner = encode_holder(self._context.daemon_name, lease_id)
        return Operation(OWNERS_PREFIX + part_name, owner, lease_id)

    async def _read(self, prefix: str) -> KvRead | KvUnavailable:
        read = await self._context.kv.read(prefix, is_prefix=True)
        self._note(read)
        return read

    async def _txn(self, part: TxnPart) -> TxnPartDone | JobNotStored:
        done = await self._context.kv.txn([part])
        self._note(done)
        if isinstance(done, KvUnavailable):
            return JobNotStored(done.detail, done.effect_unknown)
        if done[0].lease_gone:
            return JobNotStored(
                "the session's lease is over", effect_unknown=False, lease_gone=True
            )
        return done[0]

    def _note(self, answer: object) -> None:
        self._context.contact.note(self._context.now_seconds(), answer)


def _progress_put(part_name: str, checkpoint: JobCheckpoint) -> Operation:
    return Operation(PROGRESS_PREFIX + part_name, pack_checkpoint(checkpoint))
