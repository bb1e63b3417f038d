"""Trainer idle time and sample staleness by the weights in the table, with and without callers.

python benchmarks/bench_trainer.py
"""

import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from rackswitch.demo.fleet import (
    ASSOCIATION,
    CALLER_TOKEN,
    REGISTER,
    TRAINER_TOKEN,
    EmbeddedFleet,
    FleetProfile,
    table_rows,
)
from rackswitch.demo.main import wait_ready
from rackswitch.standins.callers import CallerStandIn
from rackswitch.standins.engine import expected_tokens
from rackswitch.standins.trainer import TrainerStandIn, false_labels
from rackswitch.table import TrainerRow
from rackswitch.telemetry import set_up_logs

RESULTS = Path(__file__).parent / "results"
STEPS = 6
GROUPS, GROUP_SIZE = 8, 8
TOKENS_PER_SECOND = 700.0
TRAIN_SECONDS = 0.5
STALENESS_BOUND_VERSIONS = 2


@dataclass(frozen=True, slots=True)
class Strategy:
    """Weights of a trainer in the table, and the maximum samples per draw."""

    name: str
    idle_weight: float
    staleness_weight: float
    most_samples: int


STRATEGIES = (
    Strategy("idle only", 1.0, 0.0, 16),
    Strategy("both alike", 1.0, 1.0, 16),
    Strategy("staleness only", 0.0, 1.0, 16),
    Strategy("naive: whole step at once, nothing ahead", 0.0, 1.0, GROUPS * GROUP_SIZE),
)


def min_generation_seconds(trainer: TrainerStandIn, engines: int) -> float:
    """Return the minimum time to generate all samples at the full rate of all engines."""
    tokens = 0
    for step in range(1, STEPS + 1):
        index = 0
        for group in trainer.plan_of(step).groups:
            for _ in range(group.samples):
                seed = group.seed * 1_000_003 + step * 10_007 + index
                tokens += len(expected_tokens(group.prompt, seed, group.max_tokens))
                index += 1
    return tokens / (engines * TOKENS_PER_SECOND)


async def send_requests_continuously(caller: CallerStandIn, model: str) -> None:
    number = 0
    while True:
        number += 1
        await caller.complete(model, f"page {number % 9}", 48, number)


async def run(profile: FleetProfile, strategy: Strategy, callers: int) -> dict[str, object]:
    fleet = EmbeddedFleet(profile, 3, daemon_count=4, tokens_per_second=TOKENS_PER_SECOND)
    await fleet.start()
    await wait_ready(fleet)
    fleet.store.versions[profile.model] = {1}
    row = next(
        table_row for table_row in table_rows(profile, [], 4) if isinstance(table_row, TrainerRow)
    )
    row = msgspec.structs.replace(
        row,
        concurrency=96,
        staleness_bound_versions=STALENESS_BOUND_VERSIONS,
        idle_weight=strategy.idle_weight,
        staleness_weight=strategy.staleness_weight,
    )
    await fleet.put_rows([row])
    trainer = TrainerStandIn(
        "nightly",
        TRAINER_TOKEN,
        profile.model,
        fleet.urls(),
        fleet.store.url,
        staleness_bound_versions=STALENESS_BOUND_VERSIONS,
        groups=GROUPS,
        group_size=GROUP_SIZE,
        most_samples=strategy.most_samples,
        train_seconds=TRAIN_SECONDS,
    )
    caller = CallerStandIn(CALLER_TOKEN, fleet.urls())
    load_tasks = [
        asyncio.create_task(send_requests_continuously(caller, profile.model))
        for _ in range(callers)
    ]
    kv_writes_before, began_seconds = fleet.kv.writes, time.perf_counter()
    await trainer.run(STEPS)
    elapsed_seconds = time.perf_counter() - began_seconds
    for task in load_tasks:
        task.cancel()
    record = trainer.record
    result = {
        "profile": profile.name,
        "way": strategy.name,
        "callers": callers,
        "idle_share": round(record.idle_seconds / elapsed_seconds, 3),
        "idle_seconds": round(record.idle_seconds, 2),
        "least_generation_seconds": round(
            min_generation_seconds(trainer, profile.model_engines), 2
        ),
        "wall_seconds": round(elapsed_seconds, 2),
        "staleness_mean_versions": round(record.staleness_sum / record.samples, 2),
        "staleness_most_versions": record.staleness_max,
        "kv_writes_per_1000_samples": round(
            1000 * (fleet.kv.writes - kv_writes_before) / record.samples
        ),
        "caller_p50_ms": caller.record.percentile_ms(50) if callers else None,
        "caller_p99_ms": caller.record.percentile_ms(99) if callers else None,
        "violations": record.violations() + caller.record.violations(),
        "false_labels": false_labels(trainer.labels, fleet.engines.values()),
    }
    await caller.close()
    await fleet.stop()
    return result


def main() -> None:
    set_up_logs("CRITICAL")
    rows = []
    for profile in (ASSOCIATION, REGISTER):
        for callers in (0, 8):
            for strategy in STRATEGIES:
                rows.append(asyncio.run(run(profile, strategy, callers)))
                print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "trainer.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
