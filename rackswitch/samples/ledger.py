"""Handing samples to one trainer, each exactly once.

The durable record names, for the step in progress, which sample indices went
into which batch. It is written, on the condition that the writer still holds
the ledger's lease, before a batch is handed over; bodies are not kept durably.
If they are lost the same indices are made again for the same batch, which is
sound because the trainer has not acknowledged it. See
docs/samples/index.md for each crash point.
"""

from dataclasses import dataclass, field

import msgspec

from rackswitch.outcomes import check_invariant
from rackswitch.samples.labels import staleness_versions
from rackswitch.samples.messages import Draw, Sample, SampleOrder, StepPlan
from rackswitch.samples.work import LengthForecast, index_groups, shadow_allowed, work_order

__all__ = [
    "DrawComplete",
    "DrawDecision",
    "DrawHandOver",
    "DrawRefused",
    "DrawWait",
    "DrawWrite",
    "LedgerRecord",
    "SampleLedger",
]


class LedgerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What must outlast every daemon, for one trainer."""

    step: int = 0
    trainer_epoch: int = 0
    batches: tuple[tuple[int, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class DrawRefused:
    """The draw cannot be right; nothing was changed."""

    detail: str


@dataclass(frozen=True, slots=True)
class DrawWait:
    """Nothing can be handed over yet."""


@dataclass(frozen=True, slots=True)
class DrawComplete:
    """The trainer has acknowledged every sample of the step."""


@dataclass(frozen=True, slots=True)
class DrawWrite:
    """Write this record first, then draw again."""

    record: LedgerRecord


@dataclass(frozen=True, slots=True)
class DrawHandOver:
    """Hand this batch over."""

    batch: int
    samples: tuple[Sample, ...]


DrawDecision = DrawRefused | DrawWait | DrawComplete | DrawWrite | DrawHandOver


@dataclass(slots=True)
class LedgerCounts:
    """What happened to samples, for metrics."""

    finished: int = 0
    handed_over: int = 0
    too_stale: int = 0
    unlabelled: int = 0
    failed: int = 0


@dataclass(slots=True)
class SampleLedger:
    """One trainer's samples on the daemon that holds its ledger.

    Parameters
    ----------
    trainer : str
        The trainer.
    model : str
        The model that its samples come from.
    record : LedgerRecord
        The record as it stands in the key-value service.
    """

    trainer: str
    model: str
    record: LedgerRecord
    scorer: str | None = None
    plans: dict[int, StepPlan] = field(default_factory=dict)
    bodies: dict[tuple[int, int], Sample] = field(default_factory=dict)
    running: dict[tuple[int, int], int] = field(default_factory=dict)
    policy_version: int = 0
    staleness_bound_versions: int = 0
    forecast: LengthForecast = field(default_factory=LengthForecast)
    counts: LedgerCounts = field(default_factory=LedgerCounts)
    _attempts: int = 0
    _remake_last_batch: bool = False

    def learn_plan(self, plan: StepPlan) -> DrawRefused | None:
        """Take in a step's plan; the same plan again is fine, another one is not."""
        known = self.plans.get(plan.step)
        if known is not None and known != plan:
            return DrawRefused(f"step {plan.step} was planned differently")
        self.plans[plan.step] = plan
        return None

    def set_rules(self, staleness_bound_versions: int, latest_version: int) -> None:
        """Take in the table's bound and the newest published version."""
        self.staleness_bound_versions = staleness_bound_versions
        self.policy_version = max(self.policy_version, latest_version)

    def draw(self, draw: Draw, at_least: int = 1) -> DrawDecision:
        """Decide the answer to a draw.

        Parameters
        ----------
        draw : Draw
            The trainer's call.
        at_least : int
            Fewest samples worth a new batch, unless no more are to come.

        Notes
        -----
        The caller writes a record it is told to write, calls `written` once the write is
        known to have taken effect, and then asks again.
        """
        self.policy_version = max(self.policy_version, draw.policy_version)
        if draw.trainer_epoch < self.record.trainer_epoch:
            return DrawRefused("a later start of this trainer has drawn already")
        if draw.trainer_epoch > self.record.trainer_epoch:
            return self._rewind(draw)
        if draw.step == self.record.step + 1:
            return self._open_step(draw)
        if draw.step != self.record.step:
            return DrawRefused(f"step {self.record.step} is in progress")
        last_batch = len(self.record.batches)
        if draw.acknowledged_batch == last_batch:
            return self._next_batch(draw, at_least)
        if draw.acknowledged_batch == last_batch - 1:
            return self._hand_over(last_batch)
        return DrawRefused(f"batch {last_batch} is the last of step {draw.step}")

    def written(self, record: LedgerRecord) -> None:
        """Note that the record is in force in the service."""
        handed = [index for batch in record.batches for index in batch]
        check_invariant(len(handed) == len(set(handed)), "no index is in two batches")
        check_invariant(
            record.trainer_epoch > self.record.trainer_epoch
            or (record.step, len(record.batches)) > (self.record.step, len(self.record.batches)),
            "a record moves forward within a trainer epoch",
        )
        self.record = record
        self._remake_last_batch = False
        self._forget_old_steps()

    def finished(self, sample: Sample) -> bool:
        """Take in a finished sample; return False if nobody waits for this one."""
        key = (sample.step, sample.index)
        if self.running.get(key) != sample.attempt:
            return False
        del self.running[key]
        if staleness_versions(sample.label, self.policy_version) > self.staleness_bound_versions:
            self.counts.too_stale += 1
            return False
        check_invariant(key not in self.bodies, "one body for each index")
        self.bodies[key] = sample
        self.counts.finished += 1
        plan = self.plans.get(sample.step)
        if plan is not None:
            self.forecast.note(plan.groups[sample.group].prompt, sample.tokens)
        return True

    def failed(self, order: SampleOrder, unlabelled: bool = False) -> None:
        """Note that an order brought no sample; its index will be ordered again."""
        key = (order.step, order.index)
        if self.running.get(key) == order.attempt:
            del self.running[key]
            self.counts.failed += 1
            self.counts.unlabelled += unlabelled

    def next_orders(
        self, room: int, idle_weight: float, staleness_weight: float
    ) -> list[SampleOrder]:
        """Return the orders to start now, at most `room`."""
        orders: list[SampleOrder] = []
        step = self.record.step
        missing = self._missing(step)
        self._append_orders(orders, step, missing, room)
        plan = self.plans.get(step)
        total = plan.total_samples if plan is not None else 0
        unfinished = len(missing) + sum(1 for key in self.running if key[0] == step)
        if len(orders) < room and shadow_allowed(unfinished, total, idle_weight, staleness_weight):
            self._append_orders(orders, step + 1, self._missing(step + 1), room)
        return orders

    def missing_samples(self) -> int:
        """Return how many samples of the step in progress have still to be started."""
        return len(self._missing(self.record.step))

    def _append_orders(
        self, orders: list[SampleOrder], step: int, missing: set[int], room: int
    ) -> None:
        plan = self.plans.get(step)
        if plan is None or not missing:
            return
        groups = index_groups(plan)
        for index in work_order(plan, missing, self.forecast)[: room - len(orders)]:
            orders.append(self._order(plan, index, groups[index]))

    def _order(self, plan: StepPlan, index: int, group_number: int) -> SampleOrder:
        self._attempts += 1
        group = plan.groups[group_number]
        self.running[(plan.step, index)] = self._attempts
        return SampleOrder(
            trainer=self.trainer,
            model=self.model,
            step=plan.step,
            index=index,
            group=group_number,
            attempt=self._attempts,
            prompt=group.prompt,
            seed=group.seed * 1_000_003 + plan.step * 10_007 + index,
            max_tokens=group.max_tokens,
            scorer=self.scorer,
            policy_version=self.policy_version,
            staleness_bound_versions=self.staleness_bound_versions,
        )

    def _missing(self, step: int) -> set[int]:
        """Return the indices of a step that are neither handed over, ready nor running."""
        plan = self.plans.get(step)
        if plan is None:
            return set()
        gone = self._not_to_make() if step == self.record.step else set()
        self._drop_stale(step)
        return {
            index
            for index in range(plan.total_samples)
            if index not in gone
            and (step, index) not in self.bodies
            and (step, index) not in self.running
        }

    def _not_to_make(self) -> set[int]:
        """Return the indices handed over; of the last batch only if nobody asked again.

        A new holder has no bodies of the last batch and cannot know whether it arrived;
        it makes them again only when the trainer draws that batch once more.
        """
        return self._acknowledged() if self._remake_last_batch else self._handed()

    def _acknowledged(self) -> set[int]:
        """Return the indices of all batches before the last one."""
        return {index for batch in self.record.batches[:-1] for index in batch}

    def _handed(self) -> set[int]:
        return {index for batch in self.record.batches for index in batch}

    def _next_batch(self, draw: Draw, at_least: int) -> DrawDecision:
        plan = self.plans.get(draw.step)
        if plan is None:
            return DrawRefused(f"step {draw.step} has not been planned")
        handed = self._handed()
        if len(handed) == plan.total_samples:
            return DrawComplete()
        self._drop_stale(draw.step)
        ready = sorted(
            index for step, index in self.bodies if step == draw.step and index not in handed
        )
        enough = min(at_least, draw.most_samples, plan.total_samples - len(handed))
        if len(ready) < enough:
            return DrawWait()
        batch = tuple(ready[: draw.most_samples])
        return DrawWrite(
            msgspec.structs.replace(self.record, batches=(*self.record.batches, batch))
        )

    def _hand_over(self, batch: int) -> DrawDecision:
        step = self.record.step
        self._drop_stale(step)
        indices = self.record.batches[batch - 1]
        samples = [self.bodies.get((step, index)) for index in indices]
        whole = tuple(sample for sample in samples if sample is not None)
        if len(whole) < len(indices):
            self._remake_last_batch = True
            return DrawWait()
        for sample in whole:
            age = staleness_versions(sample.label, self.policy_version)
            check_invariant(age <= self.staleness_bound_versions, "no stale sample leaves")
        self.counts.handed_over += len(whole)
        return DrawHandOver(batch, whole)

    def _open_step(self, draw: Draw) -> DrawDecision:
        plan = self.plans.get(self.record.step)
        complete = plan is not None and len(self._handed()) == plan.total_samples
        never_used = plan is None and not self.record.batches
        if not (complete or never_used):
            return DrawRefused(f"step {self.record.step} is not complete")
        if draw.step not in self.plans:
            return DrawRefused(f"step {draw.step} has not been planned")
        if draw.acknowledged_batch != 0:
            return DrawRefused(f"step {draw.step} has no batch {draw.acknowledged_batch}")
        return DrawWrite(LedgerRecord(step=draw.step, trainer_epoch=self.record.trainer_epoch))

    def _rewind(self, draw: Draw) -> DrawDecision:
        """Follow a trainer that restarted from a checkpoint and lost what came after."""
        if draw.step not in self.plans:
            return DrawRefused(f"step {draw.step} has not been planned")
        kept: tuple[tuple[int, ...], ...] = ()
        if draw.step == self.record.step:
            kept = self.record.batches[: draw.acknowledged_batch]
        if len(kept) < draw.acknowledged_batch:
            return DrawRefused(f"step {draw.step} has no batch {draw.acknowledged_batch} on record")
        self.running.clear()
        return DrawWrite(
            LedgerRecord(step=draw.step, trainer_epoch=draw.trainer_epoch, batches=kept)
        )

    def _drop_stale(self, step: int) -> None:
        for key, sample in list(self.bodies.items()):
            age = staleness_versions(sample.label, self.policy_version)
            if key[0] == step and age > self.staleness_bound_versions:
                del self.bodies[key]
                self.counts.too_stale += 1

    def _forget_old_steps(self) -> None:
        acknowledged = self._acknowledged()
        for key in list(self.bodies):
            if key[0] < self.record.step or (key[0] == self.record.step and key[1] in acknowledged):
                del self.bodies[key]
        for step in [step for step in self.plans if step < self.record.step - 1]:
            del self.plans[step]
