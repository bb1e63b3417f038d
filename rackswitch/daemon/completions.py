"""Serve callers' completions from engines."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass

from rackswitch.clients.engine import EngineRequest, StreamFailed
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.target_choice import Candidate, TargetChooser
from rackswitch.daemon.target_manager import TargetManager, version_allowed
from rackswitch.outcomes import MayHaveRun, NotRun, NotRunReason, Outcome
from rackswitch.requests import (
    AttemptEnd,
    AttemptLog,
    RetryBudget,
    StreamCheck,
    StreamChunk,
    StreamFault,
)
from rackswitch.routing import RoutedRequest, admit, estimated_wait_seconds
from rackswitch.table import RouteChoice, RouteRow, TargetRow, TenantRow

__all__ = ["CompletionCall", "CompletionDispatcher"]

RETRY_AFTER_SECONDS = 1.0
MIN_FIRST_CHUNK_TIMEOUT_SECONDS = 1.5
FIRST_CHUNK_TIMEOUT_FACTOR = 3.0
"""Timeout for the first chunk, as a multiple of the estimated wait."""


@dataclass(frozen=True, slots=True)
class CompletionCall:
    """A validated completion request of a caller."""

    tenant: TenantRow
    route: RouteRow
    prompt: str
    max_tokens: int
    seed: int
    deadline_seconds: float
    arrived_seconds: float


@dataclass(slots=True)
class _Progress:
    """What a caller's stream has received so far, over all attempts."""

    token_ids: list[int]
    choice: RouteChoice
    finished: bool = False


class CompletionDispatcher:
    """Routes completions to engines and reports their outcomes.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    targets : TargetManager
        Engine clients.
    chooser : TargetChooser
        Picks engines.
    """

    __slots__ = ("_budget", "_chooser", "_context", "_targets")

    def __init__(self, context: DaemonContext, targets: TargetManager, chooser: TargetChooser):
        self._context = context
        self._targets = targets
        self._chooser = chooser
        self._budget = RetryBudget()

    async def stream(self, call: CompletionCall) -> AsyncGenerator[StreamChunk | Outcome, None]:
        """Run a completion; yield its chunks, and an outcome in place of the rest if it fails.

        An interrupted stream resumes at another engine, after the tokens already sent.
        """
        log = AttemptLog(repeatable=True)
        progress = _Progress([], self._chooser.route_choice(call.route))
        self._budget.record_request()
        while True:
            chosen = self._choose(call, progress, log)
            if isinstance(chosen, NotRun):
                yield self._final_outcome(log, chosen)
                return
            log.check_may_begin()
            async with aclosing(self._run_attempt(call, chosen, progress, log)) as attempt:
                async for item in attempt:
                    yield item
            if progress.finished:
                return
            if not log.may_begin() or not self._budget.try_spend():
                yield log.give_up(self._context.now_seconds())
                return

    def _choose(
        self, call: CompletionCall, progress: _Progress, log: AttemptLog
    ) -> Candidate | NotRun:
        candidates = self._chooser.candidates(progress.choice, log)
        now_seconds = self._context.now_seconds()
        if not candidates:
            return NotRun(
                NotRunReason.NO_TARGET,
                "no engine available for this route",
                now_seconds + RETRY_AFTER_SECONDS,
            )
        routed = self._routed_request(call, progress)
        row, target = self._chooser.pick(routed, candidates)
        refusal = admit(routed, target, call.deadline_seconds, call.tenant.rank)
        return refusal if refusal is not None else (row, target)

    def _routed_request(self, call: CompletionCall, progress: _Progress) -> RoutedRequest:
        return self._chooser.routed_request(
            call.prompt, float(call.max_tokens - len(progress.token_ids))
        )

    async def _run_attempt(
        self,
        call: CompletionCall,
        chosen: Candidate,
        progress: _Progress,
        log: AttemptLog,
    ) -> AsyncGenerator[StreamChunk, None]:
        row, target = chosen
        routed = self._routed_request(call, progress)
        request = self._engine_request(call, chosen, routed, progress)
        check = StreamCheck(request.request_id)
        first_chunk_seconds = 0.0
        end = AttemptEnd(row.name, True, "the stream ended before its last chunk")
        target.record_start(routed.cost_tokens, routed.prefixes)
        stream = self._targets.client(row.protocol).stream(row.url, request)
        try:
            async for item in stream:
                first_chunk_seconds = first_chunk_seconds or self._context.now_seconds()
                checked = self._check_item(row, item, check, progress)
                if isinstance(checked, AttemptEnd):
                    end = checked
                    break
                target.record_chunk(checked, self._context.now_seconds())
                progress.token_ids.extend(checked.token_ids)
                progress.finished = check.finished
                if check.finished:
                    # Recorded before the last chunk is yielded, because the reader stops there.
                    target.record_success(
                        check.tokens, self._context.now_seconds() - first_chunk_seconds
                    )
                yield checked
        finally:
            target.record_end(routed.cost_tokens)
            await stream.aclose()  # type: ignore[attr-defined]
        if not progress.finished:
            target.record_failure(self._context.now_seconds())
            log.record_end(end)

    def _engine_request(
        self,
        call: CompletionCall,
        chosen: Candidate,
        routed: RoutedRequest,
        progress: _Progress,
    ) -> EngineRequest:
        row, target = chosen
        wait_seconds = estimated_wait_seconds(routed, target)
        timeout_seconds = max(
            MIN_FIRST_CHUNK_TIMEOUT_SECONDS, FIRST_CHUNK_TIMEOUT_FACTOR * wait_seconds
        )
        return EngineRequest(
            request_id=self._chooser.new_attempt_id(),
            model=row.serves,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            seed=call.seed,
            priority=call.tenant.rank,
            deadline_seconds=call.deadline_seconds,
            first_chunk_deadline_seconds=routed.now_seconds + timeout_seconds,
            resume_token_ids=tuple(progress.token_ids),
        )

    def _check_item(
        self,
        row: TargetRow,
        item: StreamChunk | StreamFailed,
        check: StreamCheck,
        progress: _Progress,
    ) -> AttemptEnd | StreamChunk:
        """Return the chunk if it may be sent to the caller, else the end of the attempt."""
        if isinstance(item, StreamFailed):
            return AttemptEnd(row.name, item.may_have_run, item.detail)
        if not version_allowed(progress.choice, item.version):
            detail = f"served by version {item.version}, which the route does not allow"
            return AttemptEnd(row.name, True, detail)
        fault = check.accept(item)
        if isinstance(fault, StreamFault):
            return AttemptEnd(row.name, True, fault.detail)
        return item

    def _final_outcome(self, log: AttemptLog, refusal: NotRun) -> Outcome:
        """Return the refusal, unless an earlier attempt may have run."""
        if log.may_have_run:
            return MayHaveRun(refusal.detail, refusal.retry_at_seconds)
        return refusal
