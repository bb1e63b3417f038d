"""Serve calls to plain services, at most once if they are not repeatable."""

import asyncio
from dataclasses import dataclass

from rackswitch.clients.plain_service import PlainAnswer, PlainRequest, PlainServiceClient
from rackswitch.daemon.claim_store import ClaimFound, ClaimStore
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.target_choice import TargetChooser
from rackswitch.outcomes import (
    Completed,
    MayHaveRun,
    NotRun,
    NotRunReason,
    Outcome,
    RanAndFailed,
)
from rackswitch.requests import (
    AttemptEnd,
    AttemptLog,
    Claim,
    ClaimDecision,
    RetryBudget,
    request_digest,
)
from rackswitch.routing import RoutedRequest
from rackswitch.table import RouteRow, TenantRow

__all__ = ["ServiceCall", "ServiceDispatcher"]

CLAIM_TIMEOUT_SECONDS = 2.0
IN_DOUBT_RETRY_DELAY_SECONDS = 1.0
DUPLICATE_TIMEOUT_SECONDS = 2.0
"""How long a duplicate request waits for the answer of the original. Calls to plain services take
some 50 ms, and an original whose daemon died is never answered."""

DUPLICATE_POLL_INTERVAL_SECONDS = 0.05
"""Interval between polls for the answer of the original: about the time of a call."""

PLAIN_COST_TOKENS = 20.0


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A validated call to a plain service."""

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


class ServiceDispatcher:
    """Routes calls to plain services and reports their outcomes.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    chooser : TargetChooser
        Picks targets.
    claims : ClaimStore
        Claims for calls that are not repeatable.
    plain : PlainServiceClient
        Makes the calls.
    """

    __slots__ = ("_budget", "_chooser", "_claims", "_context", "_plain")

    def __init__(
        self,
        context: DaemonContext,
        chooser: TargetChooser,
        claims: ClaimStore,
        plain: PlainServiceClient,
    ):
        self._context = context
        self._chooser = chooser
        self._claims = claims
        self._plain = plain
        self._budget = RetryBudget()

    async def call(self, call: ServiceCall) -> Outcome:
        """Call a plain service, at most once if the call is not repeatable."""
        if call.repeatable:
            return await self._call_targets(call)
        if call.idempotency_key is None:
            return NotRun(NotRunReason.BAD_REQUEST, "Idempotency-Key is required")
        digest = request_digest(f"{call.route.name}/{call.path}", call.method, call.body)
        claim = Claim(owner=self._claims.new_owner(), digest=digest)
        keys = self._claims.keys(call.tenant.name, call.idempotency_key)
        claim_deadline_seconds = self._context.now_seconds() + CLAIM_TIMEOUT_SECONDS
        found = await self._claims.claim(
            keys, claim, min(call.deadline_seconds, claim_deadline_seconds)
        )
        if not isinstance(found, ClaimFound):
            retry_at_seconds = self._context.now_seconds() + IN_DOUBT_RETRY_DELAY_SECONDS
            detail = "the key-value service does not answer"
            return NotRun(NotRunReason.CLAIMS_UNAVAILABLE, detail, retry_at_seconds)
        if found.decision is ClaimDecision.IN_DOUBT:
            found = await self._wait_for_original(keys, claim, found, call.deadline_seconds)
        if found.decision is not ClaimDecision.RUN:
            return self._answer_duplicate(found)
        outcome = await self._call_targets(call)
        self._context.spawn(self._close_claim(keys, found, outcome))
        return outcome

    async def _wait_for_original(
        self,
        keys: tuple[str, str, str],
        claim: Claim,
        found: ClaimFound,
        deadline_seconds: float,
    ) -> ClaimFound:
        """Wait for the original request with this key, which may still be running.

        If it ends without having run, its claim is released and this request takes it over.
        """
        duplicate_deadline_seconds = self._context.now_seconds() + DUPLICATE_TIMEOUT_SECONDS
        wait_until_seconds = min(deadline_seconds, duplicate_deadline_seconds)
        while (
            found.decision is ClaimDecision.IN_DOUBT
            and self._context.now_seconds() + DUPLICATE_POLL_INTERVAL_SECONDS < wait_until_seconds
        ):
            await asyncio.sleep(DUPLICATE_POLL_INTERVAL_SECONDS)
            latest = await self._claims.claim(keys, claim, wait_until_seconds)
            if not isinstance(latest, ClaimFound):
                break
            found = latest
        return found

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
        retry_at_seconds = self._context.now_seconds() + IN_DOUBT_RETRY_DELAY_SECONDS
        detail = "the first request with this key is not known to be done"
        return MayHaveRun(detail, retry_at_seconds)

    async def _call_targets(self, call: ServiceCall) -> Outcome:
        log = AttemptLog(call.repeatable)
        choice = self._chooser.route_choice(call.route)
        routed = RoutedRequest(0.0, PLAIN_COST_TOKENS, (), self._context.now_seconds())
        self._budget.record_request()
        while True:
            candidates = self._chooser.candidates(choice, log)
            if not candidates:
                return log.give_up(self._context.now_seconds())
            row, target = self._chooser.pick(routed, candidates)
            log.check_may_begin()
            request = PlainRequest(
                request_id=self._chooser.new_attempt_id(),
                method=call.method,
                path=call.path,
                body=call.body,
                media_type=call.media_type,
                repeatable=call.repeatable,
                deadline_seconds=call.deadline_seconds,
                idempotency_key=call.idempotency_key,
            )
            target.record_start(PLAIN_COST_TOKENS, ())
            try:
                answer = await self._plain.call(row.url, request)
            finally:
                target.record_end(PLAIN_COST_TOKENS)
            if isinstance(answer, PlainAnswer):
                target.record_success(0, 0.0)
                return _plain_outcome(answer)
            target.record_failure(self._context.now_seconds())
            log.record_end(AttemptEnd(row.name, answer.may_have_run, answer.detail))
            is_past_deadline = self._context.now_seconds() >= call.deadline_seconds
            if is_past_deadline or not log.may_begin() or not self._budget.try_spend():
                return log.give_up(self._context.now_seconds())


def _plain_outcome(answer: PlainAnswer) -> Outcome:
    if answer.status >= 500:
        return RanAndFailed(answer.status, answer.body, answer.media_type)
    return Completed(answer.status, answer.body, answer.media_type)
