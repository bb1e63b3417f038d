"""Stand-in trainer that records and checks all samples it receives."""

import asyncio
import json
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import aiohttp
import msgspec

from rackswitch.samples import Batch, Draw, GroupPlan, Sample, StepPlan
from rackswitch.standins.engine import (
    MEAN_LENGTH_TOKENS,
    EngineStandIn,
    expected_tokens,
    token_text,
)
from rackswitch.standins.services import expected_score

__all__ = ["ReceivedLabel", "TrainerRecord", "TrainerStandIn", "false_labels"]

RETRY_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 8.0
PROMPT_WORDS = 24


@dataclass(frozen=True, slots=True)
class ReceivedLabel:
    """Identity and label of a received sample, to compare with the engines' records."""

    prompt: str
    seed: int
    spans: tuple[tuple[int, int], ...]


def false_labels(received: list[ReceivedLabel], engines: Iterable[EngineStandIn]) -> int:
    """Count labels that name a version with which no engine generated the token."""
    records = [engine.made for engine in engines]
    count = 0
    for label in received:
        versions = [version for version, tokens in label.spans for _ in range(tokens)]
        made = [record.get((label.prompt, label.seed), {}) for record in records]
        count += not all(
            any(version in each.get(position, ()) for each in made)
            for position, version in enumerate(versions, start=1)
        )
    return count


@dataclass(slots=True)
class TrainerRecord:
    """Counts of received samples and errors, independent of the daemons.

    Attributes
    ----------
    idle_seconds : float
        Time spent waiting for steps to complete.
    """

    samples: int = 0
    duplicated: int = 0
    foreign: int = 0
    too_stale: int = 0
    wrong_text: int = 0
    wrong_score: int = 0
    steps: int = 0
    batches: int = 0
    idle_seconds: float = 0.0
    staleness_sum: int = 0
    staleness_max: int = 0
    versions: set[int] = field(default_factory=set)
    lengths: list[int] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Return a line for each kind of violation found."""
        counts = {
            "samples received twice": self.duplicated,
            "samples never planned": self.foreign,
            "samples older than the bound": self.too_stale,
            "samples with another text than planned": self.wrong_text,
            "samples with another sample's score": self.wrong_score,
        }
        return [f"{count} {what}" for what, count in counts.items() if count]


class TrainerStandIn:
    """Trains in steps: submits a plan, draws samples until complete, publishes a version.

    Parameters
    ----------
    name, token, model : str
        Name and bearer token of the trainer, and the model it trains.
    urls : list of str
        Base URLs of the daemons.
    store_url : str
        Base URL of the weight store.
    staleness_bound_versions : int
        Maximum staleness of a sample, for the check.
    """

    def __init__(
        self,
        name: str,
        token: str,
        model: str,
        urls: list[str],
        store_url: str,
        *,
        staleness_bound_versions: int = 2,
        groups: int = 4,
        group_size: int = 4,
        max_tokens: int = 4 * MEAN_LENGTH_TOKENS,
        most_samples: int = 8,
        scored: bool = False,
        train_seconds: float = 0.1,
        seed: int = 1,
    ):
        self.record = TrainerRecord()
        self.labels: list[ReceivedLabel] = []
        self.last_refusals: deque[tuple[str, int, bytes]] = deque(maxlen=6)
        self.urls = urls
        self.version = 1
        self.epoch = 0
        self._name = name
        self._headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
        self._model = model
        self._store_url = store_url
        self._staleness_bound_versions = staleness_bound_versions
        self._groups = groups
        self._group_size = group_size
        self._max_tokens = max_tokens
        self._max_samples = most_samples
        self._scored = scored
        self._train_seconds = train_seconds
        self._rng = random.Random(seed)

    async def run(self, steps: int, first_step: int = 1) -> None:
        """Train for a number of steps."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for step in range(first_step, first_step + steps):
                await self._run_step(session, step)

    def plan_of(self, step: int) -> StepPlan:
        """Return the plan of a step; it depends only on the trainer's name and the step."""
        rng = random.Random(f"{self._name}/{step}")
        groups = []
        for _ in range(self._groups):
            words = " ".join(str(rng.randrange(1000)) for _ in range(PROMPT_WORDS))
            prompt = f"Draft the summary of {words}"
            groups.append(
                GroupPlan(
                    prompt=prompt,
                    samples=self._group_size,
                    max_tokens=self._max_tokens,
                    seed=rng.randrange(1000),
                )
            )
        return StepPlan(step=step, groups=tuple(groups))

    async def _run_step(self, session: aiohttp.ClientSession, step: int) -> None:
        loop = asyncio.get_running_loop()
        began_seconds = loop.time()
        plan = self.plan_of(step)
        await self._submit_plan(session, plan)
        if step > 1:
            # Submitting the next plan early lets the service generate ahead.
            await self._submit_plan(session, self.plan_of(step + 1))
        received: set[int] = set()
        acknowledged = 0
        while True:
            batch = await self._draw_batch(session, plan, acknowledged)
            if batch.step_complete:
                break
            if batch.batch <= acknowledged:
                continue
            acknowledged = batch.batch
            self.record.batches += 1
            for sample in batch.samples:
                self._receive(plan, received, sample)
        self.record.idle_seconds += loop.time() - began_seconds
        self.record.steps += 1
        if len(received) != plan.total_samples:
            self.record.foreign += plan.total_samples - len(received)
        await asyncio.sleep(self._train_seconds)
        await self._publish(session)

    def _receive(self, plan: StepPlan, received: set[int], sample: Sample) -> None:
        record = self.record
        record.samples += 1
        if sample.step != plan.step or not 0 <= sample.index < plan.total_samples:
            record.foreign += 1
            return
        if sample.index in received:
            record.duplicated += 1
        received.add(sample.index)
        staleness = self.version - sample.label.oldest_version
        record.staleness_sum += max(0, staleness)
        record.staleness_max = max(record.staleness_max, staleness)
        record.too_stale += staleness > self._staleness_bound_versions
        record.versions.update(version for version, _ in sample.label.spans)
        record.lengths.append(sample.tokens)
        self._check_text(plan, sample)

    def _check_text(self, plan: StepPlan, sample: Sample) -> None:
        group = plan.groups[sample.index // self._group_size]
        tokens = expected_tokens(group.prompt, sample.seed, group.max_tokens)
        text = "".join(token_text(token) for token in tokens)
        self.record.wrong_text += text != sample.text
        self.labels.append(ReceivedLabel(group.prompt, sample.seed, sample.label.spans))
        if self._scored:
            self.record.wrong_score += sample.score != expected_score(group.prompt, text)

    async def _submit_plan(self, session: aiohttp.ClientSession, plan: StepPlan) -> None:
        while await self._post(session, "plans", msgspec.json.encode(plan)) is None:
            await asyncio.sleep(RETRY_SECONDS)

    async def _draw_batch(
        self, session: aiohttp.ClientSession, plan: StepPlan, acknowledged: int
    ) -> Batch:
        draw = Draw(
            step=plan.step,
            acknowledged_batch=acknowledged,
            policy_version=self.version,
            trainer_epoch=self.epoch,
            most_samples=self._max_samples,
            wait_seconds=1.0,
        )
        while True:
            answer = await self._post(session, "draws", msgspec.json.encode(draw))
            if answer is not None:
                return msgspec.json.decode(answer, type=Batch)
            await asyncio.sleep(RETRY_SECONDS)
            await self._post(session, "plans", msgspec.json.encode(plan))

    async def _post(
        self, session: aiohttp.ClientSession, operation: str, body: bytes
    ) -> bytes | None:
        """Call a random daemon; return None if the call failed or was refused."""
        url = f"{self._rng.choice(self.urls)}/v1/trainers/{self._name}/{operation}"
        try:
            async with session.post(url, data=body, headers=self._headers) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return None
        if answer.status != 200:
            self.last_refusals.append((operation, answer.status, content[:200]))
            return None
        return content

    async def _publish(self, session: aiohttp.ClientSession) -> None:
        version = self.version + 1
        url = f"{self._store_url}/models/{self._model}/versions/{version}"
        while True:
            try:
                async with session.put(url, data=json.dumps({"step": version})) as answer:
                    if answer.status == 204:
                        break
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(RETRY_SECONDS)
        self.version = version
