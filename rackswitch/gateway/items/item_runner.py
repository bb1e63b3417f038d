"""Runs items of batch jobs at engines, and their reward calls."""

import asyncio
from contextlib import aclosing
from functools import partial

from rackswitch.gateway.callers.request_dispatcher import (
    DispatchOutcome,
    RequestDispatcher,
    outcome_label,
)
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.run_loads import RunLoads
from rackswitch.gateway.placement_log import placement_event
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.jobs import (
    MIDDLE_URGENCY,
    EngineLoad,
    EngineMemory,
    EngineOccupancy,
    ItemProgress,
    Job,
    JobItem,
    JobLedger,
    LengthForecast,
    LocalRun,
    LocalRuns,
    PieceFault,
    PieceIntervals,
    SpareCapacity,
    TextPiece,
    should_move,
    tokens_held,
)
from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.platform.ingress import stamp_of
from rackswitch.platform.item_runs import ItemClient, ItemRequest, ItemRunEnd, ItemRunEnded
from rackswitch.platform.orders import EngineReport
from rackswitch.quarantine import request_fingerprint
from rackswitch.requests import Call, TargetAnswer
from rackswitch.routing import ListedTarget, WorkKind
from rackswitch.telemetry import events

__all__ = ["ItemRunner"]

FIRST_PIECE_TIMEOUT_SECONDS = 2.0
"""A full engine queues a run for up to the time of another one, some 0.9 s; twice that is too
long to wait there. It is a fault of the engine only if other runs there stand still too: of 493
runs that never began, over 25 days, 442 were at engines that began others meanwhile, and each
kept all new work away from that engine for 2 s."""

NEXT_PIECE_TIMEOUT_SECONDS = 1.2
"""Events come some 40 ms apart, but a load of weights, 0.9 s, may stand between two."""

REWARD_PAUSE_SECONDS = 0.1
"""Between tries of a reward call that found no target; a few times its usual work."""

TIMED_REASONS = (NotRunReason.HELD_BACK, NotRunReason.OVERLOADED)
"""Refusals that tell when the call is worth another try."""

MOVED = "goes on at a faster engine"
LEFT = "goes on elsewhere before its engine leaves"
ENDED_HERE = (MOVED, LEFT)
"""Why runs were ended that nothing was wrong with."""

ENDS_WITH_ANSWER = (ItemRunEnd.WHOLE, ItemRunEnd.FAILED, ItemRunEnd.IMPOSSIBLE)
"""Ends of a run that the engine has outlived."""

PROGRESS_SECONDS = 1.0
"""A run that has brought pieces for so long is not what its engine ended under: a request that
ends engines does so as it begins, some 0.1 s after it was sent. One that does so later in its text
begins there at the next engine."""

ENDS_WITHOUT_RUN = (ItemRunEnd.NOT_RUN, ItemRunEnd.NOT_THERE)

ADMISSION_TIMEOUT_SECONDS = 1.0
"""How long an item waits to learn what became of engines where it broke; the room at its engine
is kept for it meanwhile."""


class ItemRunner:
    """Carries out what the schedule has decided for single items.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    engines : ItemClient
        Makes the calls.
    front : RequestDispatcher
        Serves the reward calls.
    paces : EnginePaces
        Told of the pace of each run.
    quarantine : QuarantineManager
        Told of runs that broke off.

    Attributes
    ----------
    forecast, occupancy : LengthForecast, EngineOccupancy
        What the runs have shown of texts, and of how full engines are.
    own_runs, memory : LocalRuns, EngineMemory
        The runs under way, and what engines have told of their memory.
    loads : RunLoads
        What the runs tell the load picture, and what it tells of engines.
    spare : dict of str to SpareCapacity
        By service, room that nothing waits for, as the starter last saw it.
    """

    __slots__ = (
        "_context",
        "_engines",
        "_front",
        "_leave_limits",
        "_quarantine",
        "forecast",
        "loads",
        "memory",
        "occupancy",
        "own_runs",
        "paces",
        "spare",
    )

    def __init__(
        self,
        context: GatewayContext,
        engines: ItemClient,
        front: RequestDispatcher,
        paces: EnginePaces,
        quarantine: QuarantineManager,
    ):
        self._quarantine = quarantine
        self._context = context
        self._engines = engines
        self._front = front
        self.paces = paces
        self.spare: dict[str, SpareCapacity] = {}
        self.loads = RunLoads(context)
        self.forecast = LengthForecast()
        self.occupancy = EngineOccupancy()
        self.own_runs = LocalRuns()
        self.memory = EngineMemory()
        self._leave_limits: dict[tuple[str, str], asyncio.Timeout] = {}

    async def run(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        urgency: int = MIDDLE_URGENCY,
    ) -> ItemRunEnded:
        """Run an item at an engine and note in the ledger how that ended.

        Parameters
        ----------
        ledger : JobLedger
            The item's job.
        progress : ItemProgress
            The item.
        target : ListedTarget
            The engine.
        urgency : int, optional
            What the engine is told.
        """
        began_seconds = self._context.now_seconds()
        first_number = progress.last_number + 1
        gaps = PieceIntervals()
        sent = self.loads.sent(target, began_seconds)
        ended: ItemRunEnded | None = None
        try:
            ended = await self._run_until_left(ledger, progress, target, gaps, urgency)
        finally:
            self.loads.ended(sent, ended, progress.last_number - first_number + 1)
        now_seconds = self._context.now_seconds()
        fingerprint = self._tell_quarantine(ledger.job, progress.item, target, ended, gaps)
        self._context.log.write(
            events.ItemRunEnded(
                job=ledger.job.job_id,
                item=progress.item.item_id,
                run=progress.run_number,
                target=target.instance,
                first_piece=first_number,
                pieces=progress.last_number,
                versions=list(progress.versions),
                oldest_version=ledger.job.oldest_version,
                run_seconds=round(now_seconds - began_seconds, 3),
                list_age_seconds=self._context.list_age_seconds(),
                outcome=ended.end.value,
                detail=ended.detail,
                first_piece_seconds=_first_piece_seconds(gaps, began_seconds),
                fingerprint=fingerprint,
                place=placement_event(self._context, sent.place, target.service, WorkKind.TEXT),
            )
        )
        may_wait = gaps.first_at_seconds is None or urgency != MIDDLE_URGENCY
        self._note_end(ledger, progress, target, ended, may_wait)
        return ended

    def leave(self, key: tuple[str, str]) -> None:
        """End a run that goes on elsewhere; nothing if it has ended already.

        Parameters
        ----------
        key : (str, str)
            The job and the item.
        """
        limit = self._leave_limits.get(key)
        if limit is not None and not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    def hear_memory(self, target: ListedTarget, report: EngineReport) -> None:
        """Take in what an engine says of its memory."""
        self.memory.keep_only({entry.start for entry in self._context.directory.entries.values()})
        self.memory.heard(
            target.start,
            report.memory_used_tokens,
            report.memory_total_tokens,
            tokens_held(self.own_runs.at(target.start), self.forecast),
            self._context.now_seconds(),
        )

    async def _run_until_left(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        gaps: PieceIntervals,
        urgency: int,
    ) -> ItemRunEnded:
        """Run an item, and count it while it runs."""
        pieces_before = 0 if ledger.single_version else progress.last_number
        now_seconds = self._context.now_seconds()
        run = LocalRun(ledger, progress, target.instance, target.start, now_seconds, pieces_before)
        self.own_runs.began(run)
        try:
            async with asyncio.timeout(None) as limit:
                self._leave_limits[run.key] = limit
                return await self._stream(ledger, progress, target, gaps, urgency)
        except TimeoutError:
            if not limit.expired():
                raise
            return ItemRunEnded(ItemRunEnd.BROKEN, LEFT)
        finally:
            self.own_runs.ended(run)
            if self._leave_limits.get(run.key) is limit:
                del self._leave_limits[run.key]

    async def held_back(self, job: Job, item: JobItem) -> float | None:
        """Return until when (monotonic) an item must not be sent; None if it may be now."""
        deadline_seconds = self._context.now_seconds() + ADMISSION_TIMEOUT_SECONDS
        fingerprint_of = partial(item_fingerprint, job, item)
        held = await self._quarantine.admit(fingerprint_of, deadline_seconds)
        return held.until_seconds if held is not None else None

    def _tell_quarantine(
        self,
        job: Job,
        item: JobItem,
        target: ListedTarget,
        ended: ItemRunEnded,
        gaps: PieceIntervals,
    ) -> str:
        """Tell how a run ended; return the item's fingerprint if the run broke.

        An item that never reached its engine was not present at the engine's end. Counted as
        present, it would soon be held back for the ends of engines that it was never sent to.
        """
        fingerprint_of = partial(item_fingerprint, job, item)
        if ended.end in ENDS_WITH_ANSWER:
            self._quarantine.answered(fingerprint_of)
        elif ended.end in ENDS_WITHOUT_RUN or not ended.was_sent:
            self._quarantine.not_run(fingerprint_of)
        elif ended.detail not in ENDED_HERE and gaps.brought_seconds() < PROGRESS_SECONDS:
            fingerprint = fingerprint_of()
            self._quarantine.broke(fingerprint, target)
            return fingerprint
        return ""

    async def _stream(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        gaps: PieceIntervals,
        urgency: int,
    ) -> ItemRunEnded:
        if ledger.single_version:
            progress.begin_anew()
        job = ledger.job
        caller = self._context.tenants.of_tenant(job.tenant)
        request = ItemRequest(job.host, progress.item, progress.last_number, urgency, caller)
        pieces = self._engines.run(
            target, request, FIRST_PIECE_TIMEOUT_SECONDS, NEXT_PIECE_TIMEOUT_SECONDS
        )
        async with aclosing(pieces):  # type: ignore[type-var]
            async for piece in pieces:
                if isinstance(piece, EngineLoad):
                    self.occupancy.heard(target.instance, piece, self._context.now_seconds())
                    continue
                if isinstance(piece, ItemRunEnded):
                    return piece
                fault = self._take_piece(ledger, progress, piece)
                if fault is not None:
                    return ItemRunEnded(ItemRunEnd.BROKEN, fault.detail)
                now_seconds = self._context.now_seconds()
                gap_seconds = gaps.piece_came(now_seconds)
                if gap_seconds is not None:
                    self.paces.note(target.start, gap_seconds, now_seconds)
                    self._context.load_estimator.piece(
                        target.start, target.service, gap_seconds, now_seconds
                    )
                if not ledger.single_version and self._moves(ledger, progress, target, gaps):
                    return ItemRunEnded(ItemRunEnd.BROKEN, MOVED)
        return ItemRunEnded(ItemRunEnd.BROKEN, "the stream told no end")

    def _moves(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        gaps: PieceIntervals,
    ) -> bool:
        """Return whether a run ends here to go on elsewhere, and count that."""
        if not self._context.policy.runs_move:
            return False
        spare = self.spare.get(target.service)
        job = ledger.job
        if spare is None or spare.versions.get(job.model, 0) < job.oldest_version:
            return False
        remaining = self.forecast.remaining_pieces(progress)
        pace = self.loads.expected_gap_seconds(target, gaps, remaining)
        if not should_move(pace, spare, target.instance, remaining, progress.moves):
            return False
        progress.moves += 1
        spare.free_slots -= 1
        return True

    def _take_piece(
        self, ledger: JobLedger, progress: ItemProgress, piece: TextPiece
    ) -> PieceFault | None:
        fault = progress.accept(piece, ledger.job.oldest_version)
        if fault is None and ledger.single_version and len(progress.versions) > 1:
            return PieceFault("the weights changed in the middle of the text")
        return fault

    def _note_end(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        ended: ItemRunEnded,
        may_wait: bool,
    ) -> None:
        """Note in the ledger, and in what is known of the engine, how a run ended.

        Parameters
        ----------
        ledger, progress, target, ended : JobLedger, ItemProgress, ListedTarget, ItemRunEnded
            The run and its end.
        may_wait : bool
            Whether others at the same engine may have kept it from going on: it never began, or
            is one that a more urgent one displaces.
        """
        now_seconds = self._context.now_seconds()
        load = self._context.targets[target.instance]
        if ended.end is ItemRunEnd.WHOLE and progress.pieces:
            load.succeeded(0, 0.0)
            self.forecast.note(progress.item.expected_tokens, progress.last_number)
            ledger.whole(progress)
        elif ended.end is ItemRunEnd.IMPOSSIBLE:
            ledger.give_up(progress)
        elif ended.end is ItemRunEnd.FAILED:
            ledger.failed(progress, now_seconds)
        else:
            if ended.end is ItemRunEnd.SILENT:
                since_seconds = now_seconds - FIRST_PIECE_TIMEOUT_SECONDS / 2
                is_alive = self.paces.seen_since(target.start, since_seconds)
                if not (may_wait and is_alive):
                    load.went_silent(now_seconds)
            elif ended.end is ItemRunEnd.NOT_THERE:
                self._context.directory.disown(target.instance)
            ledger.broke(progress, target.instance, now_seconds)

    async def score(self, ledger: JobLedger, progress: ItemProgress) -> None:
        """Make an item's reward call until it is answered or given up."""
        item: JobItem = progress.item
        reward = item.reward
        if reward is None:
            return
        # It needs no key, and names no tenant.
        call = Call(reward.request_id, reward.host, "POST", reward.path, (), reward.body)
        while not ledger.ended:
            route = self._context.routes.find(reward.host, reward.path.partition("?")[0])
            if route is None:
                await asyncio.sleep(REWARD_PAUSE_SECONDS)
                continue
            deadline_seconds = self._context.now_seconds() + route.timeout_seconds
            log = self._front.new_log(route)
            answer = await self._front.call(
                route, call, deadline_seconds, log, reward_of=ledger.job.tenant
            )
            outcome = answer.outcome
            self._context.log.write(
                events.RewardCallEnded(
                    job=ledger.job.job_id,
                    item=item.item_id,
                    request=reward.request_id,
                    target=answer.instance,
                    attempts=answer.attempts,
                    failures=answer.failures,
                    outcome=outcome_label(outcome),
                    place=placement_event(
                        self._context,
                        answer.place,
                        answer.target.service if answer.target is not None else "",
                        WorkKind.CALL,
                    ),
                )
            )
            if isinstance(outcome, TargetAnswer) and 200 <= outcome.status < 300:
                ledger.scored(progress, stamp_of(outcome))
                return
            if not ledger.reward_failed(progress, answer.failures, route.most_attempts):
                return
            if isinstance(outcome, NotRun) or answer.failures == 0:
                await asyncio.sleep(self._reward_pause_seconds(outcome))

    def _reward_pause_seconds(self, outcome: DispatchOutcome) -> float:
        """Return when to make a reward call again; one that was told a time waits for it."""
        if not isinstance(outcome, NotRun) or outcome.reason not in TIMED_REASONS:
            return REWARD_PAUSE_SECONDS
        until_seconds = outcome.retry_at_seconds or 0.0
        return max(REWARD_PAUSE_SECONDS, until_seconds - self._context.now_seconds())


def item_fingerprint(job: Job, item: JobItem) -> str:
    """Return what an item has in common with other sends of the same request."""
    return request_fingerprint(job.tenant, job.host, "POST", item.path, item.body)


def _first_piece_seconds(gaps: PieceIntervals, began_seconds: float) -> float:
    """Return how long a run waited for its first piece, as it is logged: -1 for none."""
    if gaps.first_at_seconds is None:
        return -1.0
    return round(gaps.first_at_seconds - began_seconds, 3)
