"""Make samples: generation on one or more engines, label and score."""

import msgspec
from loguru import logger

from rackswitch.clients.engine import EngineRequest, StreamFailed
from rackswitch.clients.scorer import Score, ScorerClient
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.target_choice import Candidate, TargetChooser
from rackswitch.daemon.target_manager import TargetManager, version_allowed
from rackswitch.requests import StreamCheck, VersionSpan
from rackswitch.samples import (
    LabelUnknown,
    Sample,
    SampleLabel,
    SampleOrder,
    make_label,
    may_resume,
)
from rackswitch.table import RouteChoice

__all__ = ["SampleFailed", "SampleRunner"]

SAMPLE_PRIORITY = 100
"""Lower priority than every caller rank (0 to 9)."""

SAMPLE_TIMEOUT_SECONDS = 120.0
FIRST_CHUNK_TIMEOUT_SECONDS = 20.0
MAX_ATTEMPTS = 4
MAX_SCORING_ATTEMPTS = 3


class SampleFailed(msgspec.Struct, frozen=True):
    """The order produced no sample; `unlabelled` if its label could not be determined."""

    detail: str
    unlabelled: bool = False


class _PartialSample:
    """The part of a sample that has been generated so far."""

    __slots__ = ("finished", "spans", "text", "token_ids")

    def __init__(self) -> None:
        self.token_ids: list[int] = []
        self.text: list[str] = []
        self.spans: list[VersionSpan] = []
        self.finished = False


class SampleRunner:
    """Executes sample orders on this daemon.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    targets : TargetManager
        The known targets.
    chooser : TargetChooser
        Picks engines.
    """

    __slots__ = ("_chooser", "_context", "_scorer", "_targets")

    def __init__(self, context: DaemonContext, targets: TargetManager, chooser: TargetChooser):
        self._context = context
        self._targets = targets
        self._chooser = chooser
        self._scorer = ScorerClient(context.sessions)

    async def run(self, order: SampleOrder) -> Sample | SampleFailed:
        """Make one sample.

        An interrupted stream resumes at another engine, and the label contains the version
        spans of both. Generation restarts if the oldest span would be too old, or if an
        engine did not report its version. The ledger decides whether the complete sample is
        fresh enough.
        """
        partial = _PartialSample()
        choice = RouteChoice(serves=order.model, oldest_version=order.oldest_version)
        detail = "no engine available for this sample"
        for _ in range(MAX_ATTEMPTS):
            candidates = self._targets.allowed(choice)
            if not candidates:
                break
            detail = await self._run_attempt(order, candidates, choice, partial)
            if partial.finished:
                return await self._complete(order, partial)
            if not may_resume(partial.spans, order.policy_version, order.staleness_bound_versions):
                partial = _PartialSample()
        return SampleFailed(detail)

    async def run_encoded(self, encoded: bytes) -> bytes:
        """Make a sample for another daemon; return empty bytes on failure."""
        if self._context.stopping:
            return b""
        with self._context.in_flight:
            result = await self.run(msgspec.json.decode(encoded, type=SampleOrder))
        if isinstance(result, SampleFailed):
            return b"unlabelled" if result.unlabelled else b""
        return msgspec.json.encode(result)

    async def _run_attempt(
        self,
        order: SampleOrder,
        candidates: list[Candidate],
        choice: RouteChoice,
        partial: _PartialSample,
    ) -> str:
        remaining_tokens = float(order.max_tokens - len(partial.token_ids))
        routed = self._chooser.routed_request(order.prompt, remaining_tokens)
        row, target = self._chooser.pick(routed, candidates)
        now_seconds = self._context.now_seconds()
        request = EngineRequest(
            request_id=self._chooser.new_attempt_id(),
            model=order.model,
            prompt=order.prompt,
            max_tokens=order.max_tokens,
            seed=order.seed,
            priority=SAMPLE_PRIORITY,
            deadline_seconds=now_seconds + SAMPLE_TIMEOUT_SECONDS,
            first_chunk_deadline_seconds=now_seconds + FIRST_CHUNK_TIMEOUT_SECONDS,
            resume_token_ids=tuple(partial.token_ids),
        )
        check = StreamCheck(request.request_id)
        first_chunk_seconds = 0.0
        detail = "the stream ended before its last chunk"
        target.record_start(routed.cost_tokens, routed.prefixes)
        stream = self._targets.client(row.protocol).stream(row.url, request)
        try:
            async for item in stream:
                if isinstance(item, StreamFailed):
                    detail = item.detail
                    break
                first_chunk_seconds = first_chunk_seconds or self._context.now_seconds()
                target.record_chunk(item, self._context.now_seconds())
                if not version_allowed(choice, item.version):
                    detail = f"version {item.version} is too old for this sample"
                    break
                fault = check.accept(item)
                if fault is not None:
                    detail = fault.detail
                    break
                partial.token_ids.extend(item.token_ids)
                partial.text.append(item.text)
        finally:
            target.record_end(routed.cost_tokens)
            await stream.aclose()  # type: ignore[attr-defined]
        partial.spans.extend(check.spans)
        partial.finished = check.finished
        if check.finished:
            target.record_success(check.tokens, self._context.now_seconds() - first_chunk_seconds)
        else:
            target.record_failure(self._context.now_seconds())
        return detail

    async def _complete(self, order: SampleOrder, partial: _PartialSample) -> Sample | SampleFailed:
        label = make_label(partial.spans, len(partial.token_ids))
        if isinstance(label, LabelUnknown):
            logger.warning(
                "discarded a sample without a label: {}", label.detail, trainer=order.trainer
            )
            return SampleFailed(label.detail, unlabelled=True)
        text = "".join(partial.text)
        score: Score | None = None
        if order.scorer is not None:
            score = await self._score(order, text)
            if score is None:
                return SampleFailed("no score")
        scorer_version = score.scorer_version if score is not None else None
        return Sample(
            step=order.step,
            index=order.index,
            group=order.group,
            attempt=order.attempt,
            seed=order.seed,
            text=text,
            tokens=len(partial.token_ids),
            label=SampleLabel(spans=label.spans, scorer_version=scorer_version),
            score=score.score if score is not None else None,
        )

    async def _score(self, order: SampleOrder, text: str) -> Score | None:
        sample_id = f"{order.trainer}/{order.step}/{order.index}/{order.attempt}"
        scorers = self._targets.usable(order.scorer or "")
        for number in range(MAX_SCORING_ATTEMPTS):
            if not scorers:
                return None
            row, _ = scorers[(order.index + number) % len(scorers)]
            result = await self._scorer.score(row.url, sample_id, order.prompt, text)
            if isinstance(result, Score):
                return result
        return None
