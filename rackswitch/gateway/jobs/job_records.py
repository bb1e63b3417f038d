"""Keys and values of batch jobs in the key-value service, and as daemons pass them on."""

import asyncio
import re
import zlib
from hashlib import blake2b

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.jobs import Job, JobCheckpoint, JobResult, expected_work_seconds

__all__ = [
    "ITEMS_PREFIX",
    "JOBS_PREFIX",
    "OWNERS_PREFIX",
    "PROGRESS_PREFIX",
    "RESULTS_PREFIX",
    "JobMarker",
    "key_part",
    "marker_of",
    "pack_checkpoint",
    "pack_items",
    "pack_job",
    "pack_results",
    "unpack_checkpoint",
    "unpack_items",
    "unpack_job",
    "unpack_results",
]

JOBS_PREFIX = "control/jobs/"
OWNERS_PREFIX = "control/owners/"
ITEMS_PREFIX = "items/"
RESULTS_PREFIX = "results/"
PROGRESS_PREFIX = "progress/"

VALUE_SHARE = 0.66
"""Part of the service's largest value that a chunk takes: as base64 it grows by a third."""

PIECE_BYTES = 262_144
"""Compressed before other work has its turn: a few milliseconds."""

COMPRESSION_LEVEL = 1
"""Texts shrink little; more effort is not worth the processor time."""

PLAIN_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


class JobMarker(msgspec.Struct, frozen=True):
    """What every daemon knows of a job.

    Attributes
    ----------
    model, oldest_version : str, int
        The model whose engines run it, and the oldest version that may.
    work_seconds : float
        How long its texts probably take, added up.
    """

    job_id: str
    total: int
    submitted_at_unix_seconds: float
    model: str = ""
    oldest_version: int = 0
    ended: bool = False
    work_seconds: float = 0.0


def marker_of(job: Job) -> JobMarker:
    """Return the marker of a new job."""
    return JobMarker(
        job.job_id,
        len(job.items),
        job.submitted_at_unix_seconds,
        job.model,
        job.oldest_version,
        work_seconds=round(expected_work_seconds(job), 1),
    )


def key_part(identity: str) -> str:
    """Return a form of a caller's identity that is safe and short in a key."""
    if PLAIN_ID.fullmatch(identity):
        return identity
    return "." + blake2b(identity.encode(), digest_size=16).hexdigest()


async def pack_items(job: Job, max_value_bytes: int) -> list[bytes]:
    """Return a job with its items, in chunks that a value may hold.

    Other work has its turn while a large job is compressed.
    """
    encoded = msgspec.msgpack.encode(job)
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    parts: list[bytes] = []
    for start in range(0, len(encoded), PIECE_BYTES):
        parts.append(compressor.compress(encoded[start : start + PIECE_BYTES]))
        await asyncio.sleep(0)
    parts.append(compressor.flush())
    packed = b"".join(parts)
    chunk_bytes = int(max_value_bytes * VALUE_SHARE)
    return [packed[start : start + chunk_bytes] for start in range(0, len(packed), chunk_bytes)]


def unpack_items(entries: tuple[KvEntry, ...]) -> Job:
    """Return the job whose chunks these entries hold, in any order."""
    chunks = [entry.value for entry in sorted(entries, key=lambda entry: entry.key)]
    return msgspec.msgpack.decode(zlib.decompress(b"".join(chunks)), type=Job)


def pack_job(job: Job) -> bytes:
    """Return a job with its items as daemons pass it on."""
    return msgspec.msgpack.encode(job)


def unpack_job(data: bytes) -> Job:
    """Return a job that a daemon passed on.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are no job.
    """
    return msgspec.msgpack.decode(data, type=Job)


def pack_results(results: list[JobResult]) -> bytes:
    """Return results as one value."""
    return zlib.compress(msgspec.msgpack.encode(results), COMPRESSION_LEVEL)


def unpack_results(value: bytes) -> list[JobResult]:
    """Return the results that a value holds."""
    return msgspec.msgpack.decode(zlib.decompress(value), type=list[JobResult])


def pack_checkpoint(checkpoint: JobCheckpoint) -> bytes:
    """Return a checkpoint as one value."""
    return zlib.compress(msgspec.msgpack.encode(checkpoint), COMPRESSION_LEVEL)


def unpack_checkpoint(value: bytes) -> JobCheckpoint:
    """Return the checkpoint that a value holds."""
    return msgspec.msgpack.decode(zlib.decompress(value), type=JobCheckpoint)
