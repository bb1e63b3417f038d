"""Serving callers: completions from engines, and calls of plain services."""

import itertools
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass

from rackswitch.daemon.claim_keeper import ClaimFound, ClaimKeeper
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.target_keeper import TargetKeeper, prompt_prefixes, version_allowed
from rackswitch.outcomes import (
    Completed,
    MayHaveRun,
    NotRun,
    NotRunReason,
    Outcome,
    RanAndFailed,
)
from rackswitch.platform.engine import EngineRequest, StreamBroken
from rackswitch.platform.plain_service import PlainAnswer, PlainRequest, PlainServiceClient
from rackswitch.requests import (
    AttemptEnd,
    AttemptLog,
    Claim,
    ClaimDecision,
    RetryBudget,
    StreamCheck,
    StreamChunk,
    StreamFault,
    request_digest,
)
from rackswitch.routing import (
    POLICIES,
    RoutedRequest,
    Target,
    admit,
    estimated_wait_seconds,
    usable_targets,
)
from rackswitch.table import RouteChoice, RouteRow, TargetRow, TenantRow

__all__ = ["CallerFront", "CompletionCall", "ServiceCall"]

CHARACTERS_PER_TOKEN = 4.0
CLAIM_PATIENCE_SECONDS = 2.0
IN_DOUBT_RETRY_SECONDS = 1.0
PLAIN_COST_TOKENS = 20.0
LEAST_PATIENCE_SECONDS = 1.5
PATIENCE_FACTOR = 3.0
"""How many times the estimated wait an engine may take before another one is tried."""


@dataclass(frozen=True, slots=True)
class CompletionCall:
    """A caller's completion request, checked."""

    tenant: TenantRow
    route: RouteRow
    prompt: str
    max_tokens: int
    seed: int
    deadline_seconds: float
    arrived_seconds: float


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A caller's call of a plain service, checked."""

    tenant: TenantRow
    route: RouteRow
    method: str
    path: str
    body: bytes
    media_type: str
    repeatable: bool
    idempotency_key: str | None
    deadline_seconds: float
    arrived_seconds: float


@dataclass(slots=True)
class _Progress:
    """What a caller's stream has brought so far, over all attempts."""

    token_ids: list[int]
    choice: RouteChoice
    finished: bool = False


class CallerFront:
    """Routes callers' requests and tells the truth about what became of them.

    Parameters
    ----------
    context : DaemonContext
        The daemon.
    targets : TargetKeeper
        What is known of targets.
    claims : ClaimKeeper
        For requests that may not be repeated.
    """

    __slots__ = (
        "_budget",
        "_claims",
        "_context",
        "_counter",
        "_plain",
        "_policy",
        "_start",
        "_targets",
    )

    def __init__(self, context: DaemonContext, targets: TargetKeeper, claims: ClaimKeeper):
        self._context = context
        self._targets = targets
        self._claims = claims
        self._plain = PlainServiceClient(context.sessions)
        self._policy = POLICIES.get(context.settings.routing_policy)(context.rng)
        self._budget = RetryBudget()
        self._counter = itertools.count()
        self._start = context.rng.randrange(1 << 48)

    async def stream(self, call: CompletionCall) -> AsyncIterator[StreamChunk | Outcome]:
        """Run a completion; yield its chunks, and an outcome in place of the rest if it fails.

        A stream that breaks goes on at another engine from the tokens already passed on.
        """
        log = AttemptLog(repeatable=True)
        progress = _Progress([], self._pick_choice(call.route))
        self._budget.note_request()
        while True:
            chosen = self._choose(call, progress, log)
            if isinstance(chosen, NotRun):
                yield self._final(log, chosen)
                return
            log.begin()
            async for item in self._attempt(call, chosen, progress, log):
                yield item
            if progress.finished:
                return
            if not log.may_begin() or not self._budget.try_spend():
                yield log.give_up(self._context.now_seconds())
                return

    async def call_service(self, call: ServiceCall) -> Outcome:
        """Make a call of a plain service; at most once if it may not be repeated."""
        if call.repeatable:
            return await self._call_targets(call)
        if call.idempotency_key is None:
            return NotRun(NotRunReason.BAD_REQUEST, "Idempotency-Key is required")
        digest = request_digest(f"{call.route.name}/{call.path}", call.method, call.body)
        claim = Claim(owner=self._claims.new_owner(), digest=digest)
        keys = self._claims.keys(call.tenant.name, call.idempotency_key)
        patience_seconds = self._context.now_seconds() + CLAIM_PATIENCE_SECONDS
        found = await self._claims.claim(keys, claim, min(call.deadline_seconds, patience_seconds))
        if not isinstance(found, ClaimFound):
            retry_at_seconds = self._context.now_seconds() + IN_DOUBT_RETRY_SECONDS
            detail = "the key-value service does not answer"
            return NotRun(NotRunReason.CLAIMS_UNAVAILABLE, detail, retry_at_seconds)
        if found.decision is not ClaimDecision.RUN:
            return self._answer_duplicate(found)
        outcome = await self._call_targets(call)
        self._context.spawn(self._close_claim(keys, found, outcome))
        return outcome

    async def _close_claim(
        self, keys: tuple[str, str, str], found: ClaimFound, outcome: Outcome
    ) -> None:
        with self._context.in_flight:
            if isinstance(outcome, NotRun):
                await self._claims.release(keys, found.claim, found.entry)
            elif isinstance(outcome, Completed | RanAndFailed):
                await self._claims.store_answer(
                    keys, found, outcome.status, outcome.media_type, outcome.body
                )

    def _answer_duplicate(self, found: ClaimFound) -> Outcome:
        if found.decision is ClaimDecision.KEY_REUSED:
            detail = "the Idempotency-Key was used for another request"
            return NotRun(NotRunReason.BAD_REQUEST, detail)
        if found.decision is ClaimDecision.REPLAY and found.claim.media_type:
            return Completed(found.claim.status, found.claim.body, found.claim.media_type)
        retry_at_seconds = self._context.now_seconds() + IN_DOUBT_RETRY_SECONDS
        return MayHaveRun("the first request with this key is not known to be done",
                          retry_at_seconds)  # fmt: skip

    async def _call_targets(self, call: ServiceCall) -> Outcome:
        log = AttemptLog(call.repeatable)
        choice = self._pick_choice(call.route)
        routed = RoutedRequest(0.0, PLAIN_COST_TOKENS, (), self._context.now_seconds())
        self._budget.note_request()
        while True:
            candidates = self._untried(choice, log)
            if not candidates:
                return log.give_up(self._context.now_seconds())
            row, target = self._pick(routed, candidates)
            log.begin()
            request = PlainRequest(
                request_id=self._attempt_id(),
                method=call.method,
                path=call.path,
                body=call.body,
                media_type=call.media_type,
                repeatable=call.repeatable,
                deadline_seconds=call.deadline_seconds,
                idempotency_key=call.idempotency_key,
            )
            target.begin(PLAIN_COST_TOKENS, ())
            try:
                answer = await self._plain.call(row.url, request)
            finally:
                target.end(PLAIN_COST_TOKENS)
            if isinstance(answer, PlainAnswer):
                target.succeeded(0, 0.0)
                return _plain_outcome(answer)
            target.failed(self._context.now_seconds())
            log.note(AttemptEnd(row.name, answer.may_have_run, answer.detail))
            late = self._context.now_seconds() >= call.deadline_seconds
            if late or not log.may_begin() or not self._budget.try_spend():
                return log.give_up(self._context.now_seconds())

    def _pick_choice(self, route: RouteRow) -> RouteChoice:
        """Draw by weight among the choices that have a target now, else among all."""
        served = tuple(choice for choice in route.choices if self._targets.allowed(choice))
        return pick_choice(served or route.choices, self._context.rng)

    def _choose(
        self, call: CompletionCall, progress: _Progress, log: AttemptLog
    ) -> tuple[TargetRow, Target] | NotRun:
        candidates = self._untried(progress.choice, log)
        now_seconds = self._context.now_seconds()
        if not candidates:
            return NotRun(NotRunReason.NO_TARGET, "no engine may serve this", now_seconds + 1.0)
        routed = self._routed(call, progress)
        row, target = self._pick(routed, candidates)
        refusal = admit(routed, target, call.deadline_seconds, call.tenant.caller_class)
        return refusal if refusal is not None else (row, target)

    def _routed(self, call: CompletionCall, progress: _Progress) -> RoutedRequest:
        return RoutedRequest(
            prompt_tokens=len(call.prompt) / CHARACTERS_PER_TOKEN,
            cost_tokens=float(call.max_tokens - len(progress.token_ids)),
            prefixes=prompt_prefixes(call.prompt),
            now_seconds=self._context.now_seconds(),
        )

    def _untried(self, choice: RouteChoice, log: AttemptLog) -> list[tuple[TargetRow, Target]]:
        tried = log.tried_targets()
        allowed = self._targets.allowed(choice)
        untried = [(row, target) for row, target in allowed if row.name not in tried]
        return untried or (allowed if log.repeatable else [])

    def _pick(
        self, routed: RoutedRequest, candidates: list[tuple[TargetRow, Target]]
    ) -> tuple[TargetRow, Target]:
        rows = {target.name: row for row, target in candidates}
        usable = usable_targets([target for _, target in candidates], routed.now_seconds)
        target = self._policy.choose(routed, usable)
        return rows[target.name], target

    def _attempt_id(self) -> str:
        return f"{self._context.settings.daemon}-{self._start:x}-{next(self._counter)}"

    async def _attempt(
        self,
        call: CompletionCall,
        chosen: tuple[TargetRow, Target],
        progress: _Progress,
        log: AttemptLog,
    ) -> AsyncIterator[StreamChunk]:
        row, target = chosen
        routed = self._routed(call, progress)
        patience_seconds = max(
            LEAST_PATIENCE_SECONDS, PATIENCE_FACTOR * estimated_wait_seconds(routed, target)
        )
        request = EngineRequest(
            request_id=self._attempt_id(),
            model=row.serves,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            seed=call.seed,
            priority=call.tenant.caller_class,
            deadline_seconds=call.deadline_seconds,
            first_chunk_deadline_seconds=routed.now_seconds + patience_seconds,
            resume_token_ids=tuple(progress.token_ids),
        )
        check = StreamCheck(request.request_id)
        first_seconds = 0.0
        end: AttemptEnd | None = None
        target.begin(routed.cost_tokens, routed.prefixes)
        stream = self._targets.client(row.protocol).stream(row.url, request)
        try:
            async for item in stream:
                if isinstance(item, StreamChunk):
                    first_seconds = first_seconds or self._context.now_seconds()
                    target.saw_chunk(item, self._context.now_seconds())
                end = self._check_item(row, item, check, progress)
                if end is not None or isinstance(item, StreamBroken):
                    break
                progress.token_ids.extend(item.token_ids)
                progress.finished = check.finished
                yield item
        finally:
            target.end(routed.cost_tokens)
            await stream.aclose()  # type: ignore[attr-defined]
        now_seconds = self._context.now_seconds()
        if progress.finished:
            target.succeeded(check.tokens, now_seconds - first_seconds)
            return
        if end is None:
            end = AttemptEnd(row.name, True, "the stream ended before its last chunk")
        target.failed(now_seconds)
        log.note(end)

    def _check_item(
        self,
        row: TargetRow,
        item: StreamChunk | StreamBroken,
        check: StreamCheck,
        progress: _Progress,
    ) -> AttemptEnd | None:
        if isinstance(item, StreamBroken):
            return AttemptEnd(row.name, item.may_have_run, item.detail)
        if not version_allowed(progress.choice, item.version):
            detail = f"served by version {item.version}, which the route does not allow"
            return AttemptEnd(row.name, True, detail)
        fault = check.accept(item)
        if isinstance(fault, StreamFault):
            return AttemptEnd(row.name, True, fault.detail)
        return None

    def _final(self, log: AttemptLog, refusal: NotRun) -> Outcome:
        """Return the refusal, unless an earlier attempt may have run."""
        if log.may_have_run:
            return MayHaveRun(refusal.detail, refusal.retry_at_seconds)
        return refusal


def pick_choice(choices: tuple[RouteChoice, ...], rng: random.Random) -> RouteChoice:
    """Draw one of a route's choices by weight."""
    weights = [choice.weight for choice in choices]
    if sum(weights) <= 0:
        return choices[0]
    return rng.choices(choices, weights)[0]


def _plain_outcome(answer: PlainAnswer) -> Outcome:
    if answer.status >= 500:
        return RanAndFailed(answer.status, answer.body, answer.media_type)
    return Completed(answer.status, answer.body, answer.media_type)
