"""Encoding of batch jobs: keys and values in the key-value service, messages between daemons."""

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
    "job_key_part",
    "make_marker",
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

CHUNK_VALUE_SHARE = 0.66
"""Size of a chunk relative to the service's largest value, as base64 adds a third."""

COMPRESSION_CHUNK_BYTES = 262_144
"""Bytes compressed between two yields to the event loop."""

COMPRESSION_LEVEL = 1
"""The fastest level, as texts compress little at any level."""

PLAIN_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


class JobMarker(msgspec.Struct, frozen=True, omit_defaults=True):
    """Summary of a job that every daemon watches.

    Attributes
    ----------
    model, oldest_version : str, int
        The model that runs the job, and the oldest allowed version of it.
    work_seconds : float
        Expected run time of all items, added up.
    home_region : str
        Region of the daemon that accepted the job; empty in a deployment with one region.
    host, path : str
        Determine the job's route, and so the regions of its owners; empty without a home region.
    """

    job_id: str
    total: int
    submitted_at_unix_seconds: float
    model: str = ""
    oldest_version: int = 0
    ended: bool = False
    work_seconds: float = 0.0
    home_region: str = ""
    host: str = ""
    path: str = ""


def make_marker(job: Job) -> JobMarker:
    """Return the marker of a new job."""
    return JobMarker(
        job.job_id,
        len(job.items),
        job.submitted_at_unix_seconds,
        job.model,
        job.oldest_version,
        work_seconds=round(expected_work_seconds(job), 1),
        home_region=job.home_region,
        host=job.host if job.home_region else "",
        path=job.path if job.home_region else "",
    )


def job_key_part(identity: str) -> str:
    """Return a job's identity if it is short and safe in a key, otherwise a digest of it."""
    if PLAIN_ID.fullmatch(identity):
        return identity
    return "." + blake2b(identity.encode(), digest_size=16).hexdigest()


async def pack_items(job: Job, max_value_bytes: int) -> list[bytes]:
    """Return a job with its items, compressed and split into chunks that fit in a value.

    Yields to the event loop while it compresses a large job.
    """
    encoded = msgspec.msgpack.encode(job)
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    parts: list[bytes] = []
    for start in range(0, len(encoded), COMPRESSION_CHUNK_BYTES):
        parts.append(compressor.compress(encoded[start : start + COMPRESSION_CHUNK_BYTES]))
        await asyncio.sleep(0)
    parts.append(compressor.flush())
    packed = b"".join(parts)
    chunk_bytes = int(max_value_bytes * CHUNK_VALUE_SHARE)
    return [packed[start : start + chunk_bytes] for start in range(0, len(packed), chunk_bytes)]


def unpack_items(entries: tuple[KvEntry, ...]) -> Job:
    """Return the job that these entries hold the chunks of; the entries may be in any order."""
    chunks = [entry.value for entry in sorted(entries, key=lambda entry: entry.key)]
    return msgspec.msgpack.decode(zlib.decompress(b"".join(chunks)), type=Job)


def pack_job(job: Job) -> bytes:
    """Return a job with its items as a message field between daemons."""
    return msgspec.msgpack.encode(job)


def unpack_job(data: bytes) -> Job:
    """Return a job that another daemon sent.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a valid job.
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
