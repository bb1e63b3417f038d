"""Exactly-once delivery of samples to one trainer.

The durable record lists the sample indices of each batch of the step in
progress. It is written before a batch is handed over, on the condition that
the writer still holds the ledger's lease. Sample bodies are not durable: if
they are lost, the same indices are generated again for the same batch, which
the trainer has not acknowledged yet. See docs/samples/index.md for each crash
point.
"""

from dataclasses import dataclass, field

import msgspec

from rackswitch.outcomes import check_invariant
from rackswitch.samples.labels import staleness_versions
from rackswitch.samples.messages import Draw, Sample, SampleOrder, StepPlan
from rackswitch.samples.work import (
    LengthForecast,
    group_of_each_index,
    may_start_next_step,
    sort_by_expected_length,
)

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
    """The durable state of one trainer's ledger."""

    step: int = 0
    trainer_epoch: int = 0
    batches: tuple[tuple[int, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class DrawRefused:
    """The draw is invalid; the ledger is unchanged."""

    detail: str


@dataclass(frozen=True, slots=True)
class DrawWait:
    """No batch is ready yet."""


@dataclass(frozen=True, slots=True)
class DrawComplete:
    """The trainer has acknowledged every sample of the step."""


@dataclass(frozen=True, slots=True)
class DrawWrite:
    """The record must be written before the draw is repeated."""

    record: LedgerRecord


@dataclass(frozen=True, slots=True)
class DrawHandOver:
    """The batch to hand over."""

    batch: int
    samples: tuple[Sample, ...]


DrawDecision = DrawRefused | DrawWait | DrawComplete | DrawWrite | DrawHandOver


@dataclass(slots=True)
class LedgerCounts:
    """Counters of samples by outcome, for metrics."""

    finished: int = 0
    handed_over: int = 0
    too_stale: int = 0
    unlabelled: int = 0
    failed: int = 0


@dataclass(slots=True)
class SampleLedger:
    """The sample ledger of one trainer, on the daemon that holds its lease.

    Parameters
    ----------
    trainer : str
        The trainer's name.
    model : str
        The model that generates the samples.
    record : LedgerRecord
        The record stored in the key-value service.
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
    _regenerate_last_batch: bool = False

    def record_plan(self, plan: StepPlan) -> DrawRefused | None:
        """Record a step's plan; refuse it if it differs from the recorded one."""
        recorded = self.plans.get(plan.step)
        if recorded is not None and recorded != plan:
            return DrawRefused(f"step {plan.step} already has a different plan")
        self.plans[plan.step] = plan
        return None

    def update_staleness(self, staleness_bound_versions: int, latest_version: int) -> None:
        """Update the table's staleness bound and the newest published version."""
        self.staleness_bound_versions = staleness_bound_versions
        self.policy_version = max(self.policy_version, latest_version)

    def draw(self, draw: Draw, min_samples: int = 1) -> DrawDecision:
        """Decide the response to a draw.

        Parameters
        ----------
        draw : Draw
            The trainer's request.
        min_samples : int
            Minimum number of samples in a new batch, unless fewer remain in the step.

        Notes
        -----
        After `DrawWrite` the caller writes the record, calls `record_write` once the write has
        taken effect, and repeats the draw.
        """
        self.policy_version = max(self.policy_version, draw.policy_version)
        if draw.trainer_epoch < self.record.trainer_epoch:
            return DrawRefused("a later epoch of this trainer has already drawn")
        if draw.trainer_epoch > self.record.trainer_epoch:
            return self._rewind(draw)
        if draw.step == self.record.step + 1:
            return self._open_step(draw)
        if draw.step != self.record.step:
            return DrawRefused(f"step {self.record.step} is in progress")
        last_batch = len(self.record.batches)
        if draw.acknowledged_batch == last_batch:
            return self._next_batch(draw, min_samples)
        if draw.acknowledged_batch == last_batch - 1:
            return self._hand_over(last_batch)
        return DrawRefused(f"batch {last_batch} is the last of step {draw.step}")

    def record_write(self, record: LedgerRecord) -> None:
        """Record that the write of `record` to the service took effect."""
        handed_over = [index for batch in record.batches for index in batch]
        check_invariant(len(handed_over) == len(set(handed_over)), "no index is in two batches")
        check_invariant(
            record.trainer_epoch > self.record.trainer_epoch
            or (record.step, len(record.batches)) > (self.record.step, len(self.record.batches)),
            "the record advances within a trainer epoch",
        )
        self.record = record
        self._regenerate_last_batch = False
        self._discard_old_steps()

    def record_finished_sample(self, sample: Sample) -> bool:
        """Record a finished sample; return False if it is not expected or is too stale."""
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
            self.forecast.record_length(plan.groups[sample.group].prompt, sample.tokens)
        return True

    def record_failed_order(self, order: SampleOrder, unlabelled: bool = False) -> None:
        """Record that an order failed; its index will be ordered again."""
        key = (order.step, order.index)
        if self.running.get(key) == order.attempt:
            del self.running[key]
            self.counts.failed += 1
            self.counts.unlabelled += unlabelled

    def next_orders(
        self, max_orders: int, idle_weight: float, staleness_weight: float
    ) -> list[SampleOrder]:
        """Return the orders to start now, at most `max_orders` of them."""
        orders: list[SampleOrder] = []
        step = self.record.step
        missing = self._missing_indices(step)
        self._append_orders(orders, step, missing, max_orders)
        plan = self.plans.get(step)
        total = plan.total_samples if plan is not None else 0
        unfinished = len(missing) + sum(1 for key in self.running if key[0] == step)
        if len(orders) < max_orders and may_start_next_step(
            unfinished, total, idle_weight, staleness_weight
        ):
            self._append_orders(orders, step + 1, self._missing_indices(step + 1), max_orders)
        return orders

    def missing_samples(self) -> int:
        """Return the number of samples of the step in progress that have not been started."""
        return len(self._missing_indices(self.record.step))

    def _append_orders(
        self, orders: list[SampleOrder], step: int, missing: set[int], max_orders: int
    ) -> None:
        plan = self.plans.get(step)
        if plan is None or not missing:
            return
        groups = group_of_each_index(plan)
        for index in sort_by_expected_length(plan, missing, self.forecast)[
            : max_orders - len(orders)
        ]:
            orders.append(self._make_order(plan, index, groups[index]))

    def _make_order(self, plan: StepPlan, index: int, group_number: int) -> SampleOrder:
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

    def _missing_indices(self, step: int) -> set[int]:
        """Return the indices of a step that are not handed over, ready or running."""
        plan = self.plans.get(step)
        if plan is None:
            return set()
        excluded = self._excluded_indices() if step == self.record.step else set()
        self._drop_stale(step)
        return {
            index
            for index in range(plan.total_samples)
            if index not in excluded
            and (step, index) not in self.bodies
            and (step, index) not in self.running
        }

    def _excluded_indices(self) -> set[int]:
        """Return the indices that need no generation.

        A new lease holder has no bodies of the last batch and does not know whether the
        trainer received it. It generates them again only if the trainer redraws that batch.
        """
        return (
            self._acknowledged_indices()
            if self._regenerate_last_batch
            else self._handed_over_indices()
        )

    def _acknowledged_indices(self) -> set[int]:
        """Return the indices of all batches before the last one, which are acknowledged."""
        return {index for batch in self.record.batches[:-1] for index in batch}

    def _handed_over_indices(self) -> set[int]:
        return {index for batch in self.record.batches for index in batch}

    def _next_batch(self, draw: Draw, min_samples: int) -> DrawDecision:
        plan = self.plans.get(draw.step)
        if plan is None:
            return DrawRefused(f"step {draw.step} has not been planned")
        handed_over = self._handed_over_indices()
        if len(handed_over) == plan.total_samples:
            return DrawComplete()
        self._drop_stale(draw.step)
        ready_indices = sorted(
            index for step, index in self.bodies if step == draw.step and index not in handed_over
        )
        required_samples = min(
            min_samples, draw.most_samples, plan.total_samples - len(handed_over)
        )
        if len(ready_indices) < required_samples:
            return DrawWait()
        batch = tuple(ready_indices[: draw.most_samples])
        return DrawWrite(
            msgspec.structs.replace(self.record, batches=(*self.record.batches, batch))
        )

    def _hand_over(self, batch: int) -> DrawDecision:
        step = self.record.step
        self._drop_stale(step)
        indices = self.record.batches[batch - 1]
        samples = [self.bodies.get((step, index)) for index in indices]
        available_samples = tuple(sample for sample in samples if sample is not None)
        if len(available_samples) < len(indices):
            self._regenerate_last_batch = True
            return DrawWait()
        for sample in available_samples:
            age = staleness_versions(sample.label, self.policy_version)
            check_invariant(age <= self.staleness_bound_versions, "no stale sample is handed over")
        self.counts.handed_over += len(available_samples)
        return DrawHandOver(batch, available_samples)

    def _open_step(self, draw: Draw) -> DrawDecision:
        plan = self.plans.get(self.record.step)
        complete = plan is not None and len(self._handed_over_indices()) == plan.total_samples
        is_unused = plan is None and not self.record.batches
        if not (complete or is_unused):
            return DrawRefused(f"step {self.record.step} is not complete")
        if draw.step not in self.plans:
            return DrawRefused(f"step {draw.step} has not been planned")
        if draw.acknowledged_batch != 0:
            return DrawRefused(f"step {draw.step} has no batch {draw.acknowledged_batch}")
        return DrawWrite(LedgerRecord(step=draw.step, trainer_epoch=self.record.trainer_epoch))

    def _rewind(self, draw: Draw) -> DrawDecision:
        """Rewind to the checkpoint from which the trainer restarted."""
        if draw.step not in self.plans:
            return DrawRefused(f"step {draw.step} has not been planned")
        kept_batches: tuple[tuple[int, ...], ...] = ()
        if draw.step == self.record.step:
            kept_batches = self.record.batches[: draw.acknowledged_batch]
        if len(kept_batches) < draw.acknowledged_batch:
            return DrawRefused(f"step {draw.step} has no batch {draw.acknowledged_batch} on record")
        self.running.clear()
        return DrawWrite(
            LedgerRecord(step=draw.step, trainer_epoch=draw.trainer_epoch, batches=kept_batches)
        )

    def _drop_stale(self, step: int) -> None:
        for key, sample in list(self.bodies.items()):
            age = staleness_versions(sample.label, self.policy_version)
            if key[0] == step and age > self.staleness_bound_versions:
                del self.bodies[key]
                self.counts.too_stale += 1

    def _discard_old_steps(self) -> None:
        acknowledged = self._acknowledged_indices()
        for key in list(self.bodies):
            if key[0] < self.record.step or (key[0] == self.record.step and key[1] in acknowledged):
                del self.bodies[key]
        for step in [step for step in self.plans if step < self.record.step - 1]:
            del self.plans[step]
