"""HTTP calls of trainers: submitting, reading and ending batch jobs."""

import asyncio
import time
from dataclasses import dataclass

import msgspec

from rackswitch.gateway.callers.disconnects import done_before_disconnect
from rackswitch.gateway.callers.refusals import TEXT_HEADERS, Refusal, refuse, refuse_before_routing
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobKnown, JobNotStored, JobTooLarge
from rackswitch.gateway.jobs.job_placer import JobPlacer
from rackswitch.gateway.jobs.job_reader import JobReader, JobUnknown, JobUnsure
from rackswitch.gateway.jobs.job_records import JobMarker
from rackswitch.jobs import MAX_ITEMS, Job, JobItem, check_job
from rackswitch.platform.ingress import MalformedRequest
from rackswitch.platform.job_calls import (
    EndJob,
    JobCall,
    JobOutline,
    ReadItem,
    ReadResults,
    decode_job_items,
    decode_job_outline,
    encode_results,
)
from rackswitch.requests import retry_delay_seconds
from rackswitch.table import RouteRow
from rackswitch.telemetry.events import JobCallRefused, JobEnded, JobSubmitted, ResultsRead
from rackswitch.tenants import Caller, KeyFault
from rackswitch.web.exchange import Exchange

__all__ = ["JobHandler", "Submission"]

RETRY_AFTER_SECONDS = 0.3
"""Retry delay for a refused trainer while the key-value service is reachable. It is short, as
another daemon may accept the job."""

TRAINER_RETRY_RANK = 1
"""Trainers retry after callers of rank 0, whose requests are more urgent."""

ITEMS_PER_CHUNK = 200
"""Items decoded between two yields to the event loop."""

JSON = (("content-type", "application/json"),)
BYTES = (("content-type", "application/octet-stream"),)


@dataclass(frozen=True, slots=True)
class _SubmissionAnswer:
    """The response to a submission."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class Submission:
    """A submission as described by its request's head.

    Attributes
    ----------
    identity : str
        The job's identity, chosen by its tenant.
    """

    route: RouteRow
    caller: Caller
    identity: str
    host: str


class JobHandler:
    """Handles trainers' calls about jobs.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    job_manager : JobManager
        Ends jobs.
    reader : JobReader
        Reads jobs.
    placer : JobPlacer
        Has new jobs stored, by this daemon or another one.
    """

    __slots__ = ("_context", "_job_manager", "_placer", "_reader")

    def __init__(
        self, context: GatewayContext, job_manager: JobManager, reader: JobReader, placer: JobPlacer
    ):
        self._placer = placer
        self._context = context
        self._job_manager = job_manager
        self._reader = reader

    def identity_for(self, caller: Caller | KeyFault, identity: str) -> str | KeyFault:
        """Return the identity of the requested job, or the fault of the caller's key.

        A job that was submitted without a key can be read by every caller, also after keys have
        become mandatory.
        """
        if identity in self._job_manager.known.jobs:
            return identity
        return caller if isinstance(caller, KeyFault) else caller.job_identity(identity)

    async def submit(self, exchange: Exchange, submission: Submission, body: bytes) -> None:
        """Accept a batch job, or refuse it with a reason."""
        caller = submission.caller
        job_id = caller.job_identity(submission.identity)
        outline = decode_job_outline(job_id, submission.host, exchange.path, body, time.time())
        job = await _decode_job(outline, caller.tenant)
        if isinstance(job, Refusal):
            await refuse_before_routing(exchange, self._context, job)
            return
        if self._context.daemon.stopping:
            await refuse_before_routing(
                exchange,
                self._context,
                Refusal(503, "this daemon is stopping", self._retry_after_seconds()),
            )
            return
        if self._context.regions.has_regions:
            job = msgspec.structs.replace(job, home_region=self._context.regions.own_region)
        outcome = await self._placer.submit(job)
        answer = await self._answer_submission(exchange, outcome)
        self._context.log.write(
            JobSubmitted(
                job=job_id,
                route=submission.route.name,
                step=job.step,
                items=len(job.items),
                table_revision=self._context.table_revision,
                outcome=answer.status,
                detail=answer.detail,
            )
        )

    def _retry_after_seconds(self) -> float:
        """Return the retry delay for a refused trainer, longer during an outage."""
        contact = self._context.store_reachability
        if not contact.is_unreachable:
            return RETRY_AFTER_SECONDS
        now_seconds = self._context.now_seconds()
        remaining_seconds = contact.outage.remaining_seconds(now_seconds)
        return retry_delay_seconds(
            remaining_seconds, TRAINER_RETRY_RANK, self._context.rng.random()
        )

    async def _answer_submission(
        self, exchange: Exchange, outcome: JobCreated | JobKnown | JobTooLarge | JobNotStored
    ) -> _SubmissionAnswer:
        if isinstance(outcome, JobCreated | JobKnown):
            await exchange.respond(202)
            return _SubmissionAnswer(202, type(outcome).__name__)
        if isinstance(outcome, JobNotStored) and outcome.effect_unknown:
            await exchange.respond(504, TEXT_HEADERS, b"the job may have been taken; send it again")
            return _SubmissionAnswer(504, outcome.detail)
        if isinstance(outcome, JobTooLarge):
            refusal = Refusal(413, outcome.detail)
        else:
            refusal = Refusal(503, outcome.detail, self._retry_after_seconds())
        await refuse(exchange, refusal)
        return _SubmissionAnswer(refusal.status, refusal.detail)

    async def serve(self, exchange: Exchange, call: JobCall, arrived_seconds: float) -> None:
        """Handle a call about an existing batch job."""
        if isinstance(call, ReadResults):
            await self._read_results(exchange, call, arrived_seconds)
        elif isinstance(call, ReadItem):
            await self._read_item(exchange, call)
        else:
            await self._end_job(exchange, call)

    async def _read_item(self, exchange: Exchange, call: ReadItem) -> None:
        body = await self._reader.item(call.job_id, call.item_id)
        if isinstance(body, bytes):
            await exchange.respond(200, BYTES, body)
        else:
            await self._refuse_job_call(exchange, body, call)

    async def _read_results(
        self, exchange: Exchange, call: ReadResults, arrived_seconds: float
    ) -> None:
        deadline_seconds = arrived_seconds + call.wait_seconds
        work = asyncio.create_task(
            self._reader.results(call.job_id, call.position, deadline_seconds)
        )
        if not await done_before_disconnect(exchange, work):
            return
        page = work.result()
        if isinstance(page, JobUnknown | JobUnsure):
            await self._refuse_job_call(exchange, page, call)
            return
        self._context.log.write(
            ResultsRead(
                job=call.job_id,
                position=call.position,
                count=len(page.results),
                source=page.source,
                listed=page.listed,
                elapsed_seconds=round(self._context.now_seconds() - arrived_seconds, 4),
            )
        )
        body = encode_results(page.total, call.position, page.results)
        await exchange.respond(200, JSON, body)

    async def _end_job(self, exchange: Exchange, call: EndJob) -> None:
        marker = await self._reader.marker(call.job_id)
        if not isinstance(marker, JobMarker):
            await self._refuse_job_call(exchange, marker, call)
            return
        failure = await self._job_manager.end(marker)
        outcome = "ended" if failure is None else failure.detail
        self._context.log.write(JobEnded(job=call.job_id, outcome=outcome))
        if failure is None:
            await exchange.respond(200)
        else:
            await refuse(exchange, Refusal(503, failure.detail, self._retry_after_seconds()))

    async def _refuse_job_call(
        self, exchange: Exchange, reason: JobUnknown | JobUnsure, call: JobCall
    ) -> None:
        self._context.log.write(
            JobCallRefused(
                job=call.job_id,
                call=type(call).__name__,
                outcome=type(reason).__name__,
                detail=reason.detail if isinstance(reason, JobUnsure) else "",
            )
        )
        if isinstance(reason, JobUnsure):
            await refuse(
                exchange,
                Refusal(503, "the job cannot be read now", self._retry_after_seconds()),
            )
        else:
            await refuse(exchange, Refusal(404, "there is no such job or item"))


async def _decode_job(outline: JobOutline | MalformedRequest, tenant: str) -> Job | Refusal:
    """Return a job with its items, or a refusal; yields to the event loop between chunks."""
    if isinstance(outline, MalformedRequest):
        return Refusal(400, outline.detail)
    count = len(outline.raw_items)
    if count > MAX_ITEMS:
        return Refusal(413, f"`items` holds {count} items, at most {MAX_ITEMS} are allowed")
    items: list[JobItem] = []
    for start in range(0, count, ITEMS_PER_CHUNK):
        chunk = decode_job_items(outline, start, ITEMS_PER_CHUNK)
        if isinstance(chunk, MalformedRequest):
            return Refusal(400, chunk.detail)
        items.extend(chunk)
        await asyncio.sleep(0)
    job = msgspec.structs.replace(outline.job, items=tuple(items), tenant=tenant)
    fault = check_job(job)
    return job if fault is None else Refusal(400, fault)
