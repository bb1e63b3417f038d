"""Runs items of batch jobs at engines, and their reward calls."""

import asyncio
from collections.abc import Iterable
from contextlib import aclosing
from functools import partial

from rackswitch.gateway.callers.dispatch_answers import DispatchOutcome, outcome_label
from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.late_run_mover import LateRunMover
from rackswitch.gateway.items.reward_calls import RewardCalls, RewardCallState, is_good
from rackswitch.gateway.items.run_load_tracker import RunLoadTracker
from rackswitch.gateway.placement_log import placement_event
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.jobs import (
    DEFAULT_URGENCY,
    EngineCapacity,
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
from rackswitch.platform.ingress import server_stamp
from rackswitch.platform.item_runs import ItemClient, ItemRequest, ItemRunEnd, ItemRunEnded
from rackswitch.platform.orders import EngineReport
from rackswitch.quarantine import request_fingerprint
from rackswitch.requests import Call, TargetAnswer
from rackswitch.routing import ListedTarget, WorkKind
from rackswitch.telemetry import events

__all__ = ["LATE_DETAIL", "REGION_DETAIL", "ItemRunner"]

FIRST_PIECE_TIMEOUT_SECONDS = 2.0
"""Twice the time for which a full engine usually queues a run (0.9 s). A timeout is a fault of the
engine only if its other runs stand still too: of 493 runs that never began, 442 were at engines
that began others meanwhile, and each kept new work away from its engine for 2 s."""

NEXT_PIECE_TIMEOUT_SECONDS = 1.2
"""Pieces are some 40 ms apart, but a load of new weights (0.9 s) may come between two."""

REWARD_RETRY_DELAY_SECONDS = 0.1
"""Minimum delay before a reward call that found no target is retried."""

REASONS_WITH_RETRY_TIME = (NotRunReason.HELD_BACK, NotRunReason.OVERLOADED)
"""Refusals that state when to retry the call."""

MOVED_DETAIL = "goes on at a faster engine"
LEFT_DETAIL = "goes on elsewhere before its engine leaves"
REGION_DETAIL = "continues elsewhere, as its engine's region is no longer allowed"
LATE_DETAIL = "continues elsewhere, as its engine sent no piece in time"
MOVE_DETAILS = (MOVED_DETAIL, LEFT_DETAIL, REGION_DETAIL, LATE_DETAIL)
"""Details of runs that were stopped here to continue elsewhere, without any failure."""

ENDS_WITH_ANSWER = (ItemRunEnd.COMPLETE, ItemRunEnd.FAILED, ItemRunEnd.IMPOSSIBLE)
"""Ends of a run that show that its engine is still running."""

MIN_PROGRESS_SECONDS = 1.0
"""A run that received pieces for at least this long is not suspected when its engine ends: a
request that crashes engines does so soon after it was sent. One that crashes them later in its text
does so at the start of its next run."""

ENDS_WITHOUT_RUN = (ItemRunEnd.NOT_RUN, ItemRunEnd.MISDIRECTED)

ADMISSION_TIMEOUT_SECONDS = 1.0
"""Maximum wait for quarantine to find out whether the engines ended at which the item's runs were
interrupted."""


class ItemRunner:
    """Runs single items at the engines that the schedule has chosen.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    item_client : ItemClient
        Sends items to engines.
    dispatcher : RequestDispatcher
        Sends the reward calls.
    paces : EnginePaces
        Records the intervals between the pieces of each run.
    quarantine : QuarantineManager
        Records how runs ended, and decides whether an item may be sent.

    Attributes
    ----------
    forecast, occupancy : LengthForecast, EngineOccupancy
        Forecast of text lengths from earlier runs, and the number of runs at each engine.
    own_runs, memory : LocalRuns, EngineMemory
        This daemon's runs in progress, and the memory that engines reported.
    late_runs : LateRunMover
        Finds runs that wait long for their first piece.
    load_tracker : RunLoadTracker
        Counts the runs in the load estimates of engines.
    spare : dict of str to SpareCapacity
        By service, capacity for which no item waits, as of the last planning.
    """

    __slots__ = (
        "_context",
        "_item_client",
        "_reward_calls",
        "_stop_details",
        "_stop_timeouts",
        "_quarantine",
        "forecast",
        "late_runs",
        "load_tracker",
        "memory",
        "occupancy",
        "own_runs",
        "paces",
        "spare",
    )

    def __init__(
        self,
        context: GatewayContext,
        item_client: ItemClient,
        dispatcher: RequestDispatcher,
        paces: EnginePaces,
        quarantine: QuarantineManager,
    ):
        self._quarantine = quarantine
        self._context = context
        self._item_client = item_client
        self._reward_calls = RewardCalls(context, dispatcher)
        self.paces = paces
        self.spare: dict[str, SpareCapacity] = {}
        self.load_tracker = RunLoadTracker(context)
        self.forecast = LengthForecast()
        self.occupancy = EngineOccupancy()
        self.own_runs = LocalRuns()
        self.memory = EngineMemory()
        self.late_runs = LateRunMover(context, self.own_runs, FIRST_PIECE_TIMEOUT_SECONDS)
        self._stop_timeouts: dict[tuple[str, str], asyncio.Timeout] = {}
        self._stop_details: dict[tuple[str, str], str] = {}

    async def run(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        urgency: int = DEFAULT_URGENCY,
    ) -> ItemRunEnded:
        """Run an item at an engine and record the end in the ledger.

        Parameters
        ----------
        ledger : JobLedger
            The item's job.
        progress : ItemProgress
            The item.
        target : ListedTarget
            The engine.
        urgency : int, optional
            The urgency sent to the engine.
        """
        began_at_seconds = self._context.now_seconds()
        routed_by = self._context.table_in_use()
        first_piece_number = progress.last_number + 1
        intervals = PieceIntervals()
        sent_request = self.load_tracker.record_start(target, began_at_seconds)
        ended: ItemRunEnded | None = None
        try:
            ended = await self._run_until_stopped(ledger, progress, target, intervals, urgency)
        finally:
            self.load_tracker.record_end(
                target, sent_request, ended, progress.last_number - first_piece_number + 1
            )
        if intervals.first_at_seconds is not None:
            first_piece_seconds = intervals.first_at_seconds - began_at_seconds
            if not self._is_cold(target):
                self.late_runs.record_first_piece(target, first_piece_seconds)
        now_seconds = self._context.now_seconds()
        fingerprint = self._report_to_quarantine(
            ledger.job, progress.item, target, ended, intervals
        )
        self._context.log.write(
            events.ItemRunEnded(
                job=ledger.job.job_id,
                item=progress.item.item_id,
                run=progress.run_number,
                target=target.instance,
                first_piece=first_piece_number,
                pieces=progress.last_number,
                versions=list(progress.versions),
                oldest_version=ledger.job.oldest_version,
                run_seconds=round(now_seconds - began_at_seconds, 3),
                list_age_seconds=self._context.list_age_seconds(),
                outcome=ended.end.value,
                detail=ended.detail,
                first_piece_seconds=_first_piece_seconds(intervals, began_at_seconds),
                fingerprint=fingerprint,
                place=placement_event(
                    self._context, sent_request.estimate, target.service, WorkKind.TEXT
                ),
                routed_by_revision=routed_by.revision,
                routed_by_age_seconds=routed_by.age_seconds,
            )
        )
        has_begun = intervals.first_at_seconds is not None
        self._record_end(ledger, progress, target, ended, has_begun, urgency)
        return ended

    def stop_run(self, key: tuple[str, str], detail: str = LEFT_DETAIL) -> bool:
        """Stop a run that will continue elsewhere; return False if it has ended or is stopped.

        Parameters
        ----------
        key : (str, str)
            The job id and the item id.
        detail : str, optional
            Why it is stopped, one of `MOVE_DETAILS`.
        """
        stop_timeout = self._stop_timeouts.get(key)
        if stop_timeout is None or stop_timeout.expired() or stop_timeout.when() is not None:
            return False
        stop_timeout.reschedule(asyncio.get_running_loop().time())
        self._stop_details[key] = detail
        return True

    def stop_late_runs(self, engines: Iterable[EngineCapacity], now_seconds: float) -> None:
        """Stop the runs without a first piece that another engine can run at once."""
        for run in self.late_runs.runs_to_stop(engines, now_seconds):
            is_engine_active = self.paces.has_interval_since(run.start, run.sent_at_seconds)
            if self.stop_run(run.key, LATE_DETAIL):
                self.late_runs.record_stopped(run, now_seconds, is_engine_active)

    def record_memory(self, target: ListedTarget, report: EngineReport) -> None:
        """Record the memory in an engine's report."""
        self.memory.keep_only({entry.start for entry in self._context.directory.entries.values()})
        self.memory.record_usage(
            target.start,
            report.memory_used_tokens,
            report.memory_total_tokens,
            tokens_held(self.own_runs.runs_at(target.start), self.forecast),
            self._context.now_seconds(),
        )

    async def _run_until_stopped(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        intervals: PieceIntervals,
        urgency: int,
    ) -> ItemRunEnded:
        """Run an item until it ends or `stop_run` stops it, and track it meanwhile."""
        pieces_before = 0 if ledger.single_version else progress.last_number
        now_seconds = self._context.now_seconds()
        run = LocalRun(
            ledger,
            progress,
            target.instance,
            target.start,
            now_seconds,
            pieces_before,
            target.zone,
        )
        self.own_runs.add(run)
        try:
            async with asyncio.timeout(None) as stop_timeout:
                self._stop_timeouts[run.key] = stop_timeout
                return await self._stream(ledger, progress, target, intervals, urgency)
        except TimeoutError:
            if not stop_timeout.expired():
                raise
            detail = self._stop_details.get(run.key, LEFT_DETAIL)
            return ItemRunEnded(ItemRunEnd.INTERRUPTED, detail)
        finally:
            self.own_runs.remove(run)
            if self._stop_timeouts.get(run.key) is stop_timeout:
                del self._stop_timeouts[run.key]
                self._stop_details.pop(run.key, None)

    async def quarantined_until(self, job: Job, progress: ItemProgress) -> float | None:
        """Return until when quarantine holds an item (monotonic); None if it may be sent now.

        An overdue item is not held.
        """
        now_seconds = self._context.now_seconds()
        if progress.is_overdue(now_seconds):
            return None
        deadline_seconds = min(now_seconds + ADMISSION_TIMEOUT_SECONDS, progress.overdue_at_seconds)
        fingerprint_of = partial(item_fingerprint, job, progress.item)
        request_held = await self._quarantine.admit_item(fingerprint_of, deadline_seconds)
        if request_held is None:
            return None
        return min(request_held.until_seconds, progress.overdue_at_seconds)

    def record_not_sent(self, job: Job, item: JobItem) -> None:
        """Record that an item that quarantine admitted was not sent."""
        self._quarantine.record_not_run(partial(item_fingerprint, job, item))

    def _report_to_quarantine(
        self,
        job: Job,
        item: JobItem,
        target: ListedTarget,
        ended: ItemRunEnded,
        intervals: PieceIntervals,
    ) -> str:
        """Report a run's end to quarantine; return the item's fingerprint if it is suspected.

        An item that never reached its engine was not present at the engine's end.
        """
        fingerprint_of = partial(item_fingerprint, job, item)
        if ended.end in ENDS_WITH_ANSWER:
            self._quarantine.record_answer(fingerprint_of)
        elif ended.end in ENDS_WITHOUT_RUN or not ended.was_sent:
            self._quarantine.record_not_run(fingerprint_of)
        elif (
            ended.detail not in MOVE_DETAILS
            and intervals.streaming_seconds() < MIN_PROGRESS_SECONDS
        ):
            fingerprint = fingerprint_of()
            self._quarantine.record_failure(fingerprint, target)
            return fingerprint
        return ""

    async def _stream(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        intervals: PieceIntervals,
        urgency: int,
    ) -> ItemRunEnded:
        if ledger.single_version:
            progress.discard_text()
        job = ledger.job
        caller = self._context.tenants.caller_of_tenant(job.tenant)
        request = ItemRequest(job.host, progress.item, progress.last_number, urgency, caller)
        pieces = self._item_client.run(
            target, request, FIRST_PIECE_TIMEOUT_SECONDS, NEXT_PIECE_TIMEOUT_SECONDS
        )
        async with aclosing(pieces):  # type: ignore[type-var]
            async for piece in pieces:
                if isinstance(piece, EngineLoad):
                    self.occupancy.record_load(target.instance, piece, self._context.now_seconds())
                    continue
                if isinstance(piece, ItemRunEnded):
                    return piece
                fault = self._accept_piece(ledger, progress, piece)
                if fault is not None:
                    return ItemRunEnded(ItemRunEnd.INTERRUPTED, fault.detail)
                now_seconds = self._context.now_seconds()
                interval_seconds = intervals.record_piece(now_seconds)
                if interval_seconds is not None and not self._is_cold(target):
                    self.paces.record_interval(target.start, interval_seconds, now_seconds)
                    self._context.load_estimator.record_piece_interval(
                        target.start, target.service, interval_seconds, now_seconds
                    )
                if not ledger.single_version and self._claim_move(
                    ledger, progress, target, intervals
                ):
                    return ItemRunEnded(ItemRunEnd.INTERRUPTED, MOVED_DETAIL)
        return ItemRunEnded(ItemRunEnd.INTERRUPTED, "the stream ended without an end event")

    def _claim_move(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        intervals: PieceIntervals,
    ) -> bool:
        """Return whether a run moves to a faster engine; if so, take the spare slot for it."""
        if not self._context.policy.runs_move:
            return False
        spare = self.spare.get(target.service)
        job = ledger.job
        if spare is None or spare.versions.get(job.model, 0) < job.oldest_version:
            return False
        if not self._may_receive(spare, ledger.allowed_regions):
            return False
        remaining_pieces = self.forecast.remaining_pieces(progress)
        now_seconds = self._context.now_seconds()
        engine_seconds_per_piece = self.paces.get(target.start, now_seconds)
        seconds_per_piece = self.load_tracker.expected_interval_seconds(
            target, intervals, remaining_pieces, engine_seconds_per_piece
        )
        self._update_spare_pace(spare, target.service, now_seconds)
        if not should_move(
            seconds_per_piece, spare, target.instance, remaining_pieces, progress.moves
        ):
            return False
        progress.moves += 1
        spare.free_slots -= 1
        return True

    def _may_receive(self, spare: SpareCapacity, allowed_regions: frozenset[str] | None) -> bool:
        """Return whether a spare engine is still eligible for items with these regions."""
        listed = self._context.directory.entries.get(spare.instance)
        if listed is None:
            return True
        return self._context.directory.may_receive(listed, allowed_regions)

    def _update_spare_pace(self, spare: SpareCapacity, service: str, now_seconds: float) -> None:
        """Update a spare engine that turned cold or slow since the planning.

        What slows all engines at once, such as a busy VM, is no reason to move.
        """
        listed = self._context.directory.entries.get(spare.instance)
        if listed is not None and self._is_cold(listed):
            # It has become cold since the planning.
            spare.free_slots = 0
        if listed is not None and not self._context.chooses_targets_by_load(service):
            present_seconds = self.paces.get(listed.start, now_seconds)
            spare.seconds_per_piece = max(spare.seconds_per_piece, present_seconds)

    def _is_cold(self, target: ListedTarget) -> bool:
        """Return whether a target is cold or has just become warm."""
        return self._context.cold_sends.is_limited(target, self._context.now_seconds())

    def _accept_piece(
        self, ledger: JobLedger, progress: ItemProgress, piece: TextPiece
    ) -> PieceFault | None:
        fault = progress.accept(piece, ledger.job.oldest_version)
        if fault is None and ledger.single_version and len(progress.versions) > 1:
            return PieceFault("the weights changed in the middle of the text")
        return fault

    def _record_end(
        self,
        ledger: JobLedger,
        progress: ItemProgress,
        target: ListedTarget,
        ended: ItemRunEnded,
        has_begun: bool,
        urgency: int,
    ) -> None:
        """Record a run's end in the ledger and in the state of its engine.

        Parameters
        ----------
        ledger, progress, target, ended : JobLedger, ItemProgress, ListedTarget, ItemRunEnded
            The run and its end.
        has_begun : bool
            Whether it has delivered a piece.
        urgency : int
            The urgency sent to the engine; a more urgent run may have displaced this one.
        """
        now_seconds = self._context.now_seconds()
        target_state = self._context.targets[target.instance]
        if ended.end is ItemRunEnd.COMPLETE and progress.pieces:
            target_state.record_success(0, 0.0)
            self.forecast.record_length(progress.item.expected_tokens, progress.last_number)
            ledger.record_complete_text(progress)
        elif ended.end is ItemRunEnd.IMPOSSIBLE:
            ledger.give_up(progress)
        elif ended.end is ItemRunEnd.FAILED:
            ledger.record_failure(progress, now_seconds)
        else:
            if ended.end is ItemRunEnd.SILENT:
                since_seconds = now_seconds - FIRST_PIECE_TIMEOUT_SECONDS / 2
                is_engine_active = self.paces.has_interval_since(target.start, since_seconds)
                may_be_queued = not has_begun or urgency != DEFAULT_URGENCY
                is_excused = (may_be_queued and is_engine_active) or self._is_cold(target)
                if not is_excused:
                    target_state.record_no_response(now_seconds)
            elif ended.end is ItemRunEnd.MISDIRECTED:
                self._context.directory.remove_replaced(target.instance)
            elif ended.is_malformed:
                target_state.record_failure(now_seconds)
            is_interrupted = ended.end is ItemRunEnd.INTERRUPTED and not ended.is_malformed
            was_at_engine = has_begun or is_interrupted
            ledger.record_interruption(progress, target.instance, now_seconds, was_at_engine)

    async def score(self, ledger: JobLedger, progress: ItemProgress) -> None:
        """Send an item's reward call, with retries, until it is answered or given up."""
        item: JobItem = progress.item
        reward = item.reward
        if reward is None:
            return
        # The call is internal: it carries no API key and no tenant.
        call = Call(reward.request_id, reward.host, "POST", reward.path, (), reward.body)
        state = RewardCallState()
        while not ledger.ended:
            route = self._context.routes.find(reward.host, reward.path.partition("?")[0])
            if route is None:
                await asyncio.sleep(REWARD_RETRY_DELAY_SECONDS)
                continue
            if progress.reward_failures >= route.most_attempts:
                if not ledger.record_reward_failures(progress, 0, route.most_attempts):
                    return
                await asyncio.sleep(REWARD_RETRY_DELAY_SECONDS)
                continue
            routed_by = self._context.table_in_use()
            deadline_seconds = self._context.now_seconds() + route.timeout_seconds
            answer = await self._reward_calls.call(
                route, call, deadline_seconds, ledger.job.tenant, state
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
                    is_hedged=state.is_hedged,
                    place=placement_event(
                        self._context,
                        answer.estimate,
                        answer.target.service if answer.target is not None else "",
                        WorkKind.CALL,
                    ),
                    routed_by_revision=routed_by.revision,
                )
            )
            if isinstance(outcome, TargetAnswer) and is_good(answer):
                ledger.record_score(progress, server_stamp(outcome))
                return
            if not ledger.record_reward_failures(progress, answer.failures, route.most_attempts):
                return
            if isinstance(outcome, NotRun) or answer.failures == 0:
                await asyncio.sleep(self._reward_retry_delay_seconds(outcome))

    def _reward_retry_delay_seconds(self, outcome: DispatchOutcome) -> float:
        """Return the delay before a reward call is retried; at least until a stated retry time."""
        if not isinstance(outcome, NotRun) or outcome.reason not in REASONS_WITH_RETRY_TIME:
            return REWARD_RETRY_DELAY_SECONDS
        retry_at_seconds = outcome.retry_at_seconds or 0.0
        return max(REWARD_RETRY_DELAY_SECONDS, retry_at_seconds - self._context.now_seconds())


def item_fingerprint(job: Job, item: JobItem) -> str:
    """Return the fingerprint of an item's request, which is equal for all its runs."""
    return request_fingerprint(job.tenant, job.host, "POST", item.path, item.body)


def _first_piece_seconds(intervals: PieceIntervals, began_at_seconds: float) -> float:
    """Return the time until a run's first piece, as it is logged; -1 if none arrived."""
    if intervals.first_at_seconds is None:
        return -1.0
    return round(intervals.first_at_seconds - began_at_seconds, 3)
