"""Trainers' batch jobs over HTTP: submitting, reading and ending them."""

import asyncio
import time
from dataclasses import dataclass

import msgspec

from rackswitch.gateway.callers.disconnects import done_before_disconnect
from rackswitch.gateway.callers.refusals import TEXT, Refusal, refuse, refuse_before_routing
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
"""When a refused trainer should come back while the service is there: another daemon may take
the job at once."""

JOB_CLASS = 1
"""Rank of trainers' calls among refused ones: behind callers, who have a person waiting."""

ITEMS_PER_PIECE = 200
"""Items decoded before other work has its turn: some 200 kB, about a millisecond."""

JSON = (("content-type", "application/json"),)
BYTES = (("content-type", "application/octet-stream"),)


@dataclass(frozen=True, slots=True)
class _Answered:
    """What a trainer was told of its job."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class Submission:
    """What the head of a submission says.

    Attributes
    ----------
    identity : str
        The job's identity as its tenant chose it.
    """

    route: RouteRow
    caller: Caller
    identity: str
    host: str


class JobHandler:
    """Answers trainers.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    keeper : JobManager
        Ends jobs.
    reader : JobReader
        Reads jobs.
    placer : JobPlacer
        Takes jobs, here or at another daemon.
    """

    __slots__ = ("_context", "_keeper", "_placer", "_reader")

    def __init__(
        self, context: GatewayContext, keeper: JobManager, reader: JobReader, placer: JobPlacer
    ):
        self._placer = placer
        self._context = context
        self._keeper = keeper
        self._reader = reader

    def identity_for(self, caller: Caller | KeyFault, identity: str) -> str | KeyFault:
        """Return the identity of a job that a caller asks for, or why it may not ask.

        A job that was taken without a key is anybody's to read, also once keys are asked for.
        """
        if identity in self._keeper.known.jobs:
            return identity
        return caller if isinstance(caller, KeyFault) else caller.job_identity(identity)

    async def submit(self, exchange: Exchange, submission: Submission, body: bytes) -> None:
        """Take a batch job, or say why not."""
        caller = submission.caller
        job_id = caller.job_identity(submission.identity)
        outline = decode_job_outline(job_id, submission.host, exchange.path, body, time.time())
        job = await _whole_job(outline, caller.tenant)
        if isinstance(job, Refusal):
            await refuse_before_routing(exchange, self._context, job)
            return
        if self._context.daemon.stopping:
            await refuse_before_routing(
                exchange,
                self._context,
                Refusal(503, "this daemon is stopping", self._come_back_seconds()),
            )
            return
        outcome = await self._placer.submit(job)
        answered = await self._answer_submission(exchange, outcome)
        self._context.log.write(
            JobSubmitted(
                job=job_id,
                route=submission.route.name,
                step=job.step,
                items=len(job.items),
                table_revision=self._context.table_revision,
                outcome=answered.status,
                detail=answered.detail,
            )
        )

    def _come_back_seconds(self) -> float:
        """Return when a refused trainer should come back, by what is known of the service."""
        contact = self._context.contact
        if not contact.is_away:
            return RETRY_AFTER_SECONDS
        now_seconds = self._context.now_seconds()
        left_seconds = contact.outage.remaining_seconds(now_seconds)
        return retry_delay_seconds(left_seconds, JOB_CLASS, self._context.rng.random())

    async def _answer_submission(
        self, exchange: Exchange, outcome: JobCreated | JobKnown | JobTooLarge | JobNotStored
    ) -> _Answered:
        if isinstance(outcome, JobCreated | JobKnown):
            await exchange.respond(202)
            return _Answered(202, type(outcome).__name__)
        if isinstance(outcome, JobNotStored) and outcome.effect_unknown:
            await exchange.respond(504, TEXT, b"the job may have been taken; send it again")
            return _Answered(504, outcome.detail)
        if isinstance(outcome, JobTooLarge):
            refusal = Refusal(413, outcome.detail)
        else:
            refusal = Refusal(503, outcome.detail, self._come_back_seconds())
        await refuse(exchange, refusal)
        return _Answered(refusal.status, refusal.detail)

    async def serve(self, exchange: Exchange, call: JobCall, arrived_seconds: float) -> None:
        """Serve a call about a batch job."""
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
        failure = await self._keeper.end(marker)
        outcome = "ended" if failure is None else failure.detail
        self._context.log.write(JobEnded(job=call.job_id, outcome=outcome))
        if failure is None:
            await exchange.respond(200)
        else:
            await refuse(exchange, Refusal(503, failure.detail, self._come_back_seconds()))

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
                Refusal(503, "the job cannot be read now", self._come_back_seconds()),
            )
        else:
            await refuse(exchange, Refusal(404, "there is no such job or item"))


async def _whole_job(outline: JobOutline | MalformedRequest, tenant: str) -> Job | Refusal:
    """Return a job with its items, or why it is not taken; other work has its turn meanwhile."""
    if isinstance(outline, MalformedRequest):
        return Refusal(400, outline.detail)
    count = len(outline.raw_items)
    if count > MAX_ITEMS:
        return Refusal(413, f"`items` holds {count} items, at most {MAX_ITEMS} are taken")
    items: list[JobItem] = []
    for first in range(0, count, ITEMS_PER_PIECE):
        piece = decode_job_items(outline, first, ITEMS_PER_PIECE)
        if isinstance(piece, MalformedRequest):
            return Refusal(400, piece.detail)
        items.extend(piece)
        await asyncio.sleep(0)
    job = msgspec.structs.replace(outline.job, items=tuple(items), tenant=tenant)
    fault = check_job(job)
    return job if fault is None else Refusal(400, fault)
