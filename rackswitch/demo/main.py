"""The program ``rackswitch-demo``: runs callers and a trainer against an embedded fleet."""

import asyncio
import contextlib
import json
import random
import sys
from collections import Counter

import fire

from rackswitch.daemon.core import Daemon
from rackswitch.demo.fleet import (
    ASSOCIATION,
    CALLER_TOKEN,
    REGISTER,
    TRAINER_TOKEN,
    EmbeddedFleet,
    FleetProfile,
)
from rackswitch.standins.callers import CallerStandIn
from rackswitch.standins.platform_fleet import PlatformFleet, desired_state
from rackswitch.standins.trainer import TrainerStandIn, false_labels
from rackswitch.telemetry import set_up_logs

__all__ = ["main", "run_demo", "run_platform_demo"]

PROFILES = {profile.name: profile for profile in (ASSOCIATION, REGISTER)}
REQUESTS = 120
STEPS = 4
PLATFORM_JOBS = 4
READY_TIMEOUT_SECONDS = 10.0
ARRIVALS_PER_SECOND = 40.0
DEMO_WINDOW_SECONDS = 1.0
"""Length of a usage window; shorter than in production to keep the demonstration short."""

USAGE_TIMEOUT_SECONDS = 8.0
"""Covers the delay of a usage report after its window and one retry."""

OWN_TENANT = "members"
OTHER_TENANT = "archive"


async def wait_ready(fleet: EmbeddedFleet) -> None:
    """Wait until every daemon has applied the table and knows all other daemons."""
    daemons = fleet.daemons.values()

    def is_ready(daemon: Daemon) -> bool:
        return daemon.table.is_ready and len(daemon.context.membership.live()) == len(daemons)

    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while not all(is_ready(daemon) for daemon in daemons):
            await asyncio.sleep(0.05)
        for daemon in fleet.daemons.values():
            await daemon.targets.poll()


async def _call(caller: CallerStandIn, profile: FleetProfile, number: int, seed: int) -> None:
    kind = number % 3
    if kind == 0:
        await caller.complete(profile.model, f"page {number % 7}", 48, seed + number)
    elif kind == 1:
        await caller.complete(profile.application, f"form {number}", 24, number, stream=False)
    else:
        body = f"job {number}".encode()
        await caller.call_service(profile.service, f"jobs/{number}", body, f"key-{seed}-{number}")


async def run_demo(profile: FleetProfile, seed: int) -> dict[str, object]:
    """Run callers and a trainer against a fleet; return the summary."""
    fleet = EmbeddedFleet(profile, seed)
    await fleet.start()
    await wait_ready(fleet)
    caller = CallerStandIn(CALLER_TOKEN, fleet.urls(), seed)
    trainer = TrainerStandIn(
        "nightly", TRAINER_TOKEN, profile.model, fleet.urls(), fleet.store.url, scored=True
    )
    fleet.store.versions[profile.model] = {1}
    rng = random.Random(seed)
    training_task = asyncio.create_task(trainer.run(STEPS))
    calls = []
    for number in range(REQUESTS):
        calls.append(asyncio.create_task(_call(caller, profile, number, seed)))
        await asyncio.sleep(rng.expovariate(ARRIVALS_PER_SECOND))
    await asyncio.gather(training_task, *calls)
    runs_by_key: dict[str, int] = {}
    for service in fleet.services:
        for key, count in service.runs_by_key.items():
            runs_by_key[key] = runs_by_key.get(key, 0) + count
    violations = caller.violations(runs_by_key) + trainer.record.violations()
    wrong_labels = false_labels(trainer.labels, fleet.engines.values())
    if wrong_labels:
        violations.append(f"{wrong_labels} samples with a wrong label")
    violations += fleet.broken_invariants()
    await caller.close()
    summary = {
        "profile": profile.name,
        "daemons": len(fleet.daemons),
        "engines": len(fleet.engines),
        "requests_sent": REQUESTS,
        "requests_completed": caller.record.completed,
        "requests_not_run": caller.record.not_run,
        "requests_in_doubt": caller.record.may_have_run + caller.record.failed,
        "latency_p50_ms": caller.record.percentile_ms(50),
        "latency_p99_ms": caller.record.percentile_ms(99),
        "steps_whole": trainer.record.steps,
        "samples_delivered": trainer.record.samples,
        "samples_duplicated": trainer.record.duplicated,
        "weight_versions_seen": sorted(trainer.record.versions),
        "staleness_most_versions": trainer.record.staleness_max,
        "kv_calls": fleet.kv.calls,
        "violations": violations,
    }
    await fleet.stop()
    return summary


async def _wait_for_usage(fleet: PlatformFleet) -> dict[str, int]:
    """Wait until all requests are reported or the timeout expires; return counts by tenant."""
    counts: Counter[str] = Counter()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(USAGE_TIMEOUT_SECONDS):
            while counts.total() < REQUESTS:
                await asyncio.sleep(0.1)
                counts = Counter()
                for report in fleet.api.usage().values():
                    counts.update(report)
    return dict(counts)


async def run_platform_demo(jobs: int = PLATFORM_JOBS) -> dict[str, object]:
    """Run callers and a trainer against gateways with stand-ins of the platform."""
    fleet = PlatformFleet(daemons=3, engines=3, usage_window_seconds=DEMO_WINDOW_SECONDS)
    await fleet.start()
    tenants = [{"name": name, "api_keys": [f"{name}-key"]} for name in (OWN_TENANT, OTHER_TENANT)]
    await fleet.operate(desired_state(2, tenants=tenants))
    fleet.key = "a key nobody holds"
    bad_key_status, _, _ = await fleet.request("d0", "POST", "/look/x", b"form", "bad")
    fleet.key = f"{OWN_TENANT}-key"
    calls = [
        fleet.request(f"d{number % 3}", "POST", "/look/x", b"form", f"r{number}")
        for number in range(REQUESTS)
    ]
    responses = await asyncio.gather(*calls)
    complete_jobs = 0
    versions: set[int] = set()
    for number in range(jobs):
        pieces = [1 + (item * 7 + number) % 40 for item in range(16)]
        await fleet.submit(f"d{number % 3}", f"job{number}", pieces)
        fleet.name_version(number + 2)
        results = await fleet.read_all(f"d{(number + 1) % 3}", f"job{number}")
        complete_jobs += all(
            len(result["text"].split("\n")) == pieces[int(result["id"].rpartition("-")[2])]
            for result in results
        )
        versions.update(number for result in results for number in result["versions"])
        await fleet.end_job("d0", f"job{number}")
    fleet.key = f"{OTHER_TENANT}-key"
    foreign_job_status = (await fleet.read("d0", "job0")).status
    reported = await _wait_for_usage(fleet)
    completed = sum(status == 200 for status, _, _ in responses)
    violations = (
        [] if complete_jobs == jobs else [f"{jobs - complete_jobs} jobs with an incomplete text"]
    )
    if completed < REQUESTS:
        violations.append(f"{REQUESTS - completed} requests not completed")
    if (bad_key_status, foreign_job_status) != (401, 404):
        violations.append("an invalid key or a foreign job was not refused")
    if reported != {OWN_TENANT: REQUESTS}:
        violations.append(f"usage reported as {reported}")
    summary: dict[str, object] = {
        "gateways": len(fleet.gateways),
        "engines": len(fleet.engines),
        "requests_completed": completed,
        "jobs_whole": complete_jobs,
        "weight_versions_seen": sorted(versions),
        "status_with_a_bad_key": bad_key_status,
        "status_of_a_foreign_job": foreign_job_status,
        "usage_reported": reported,
        "load_orders": sum(len(engine.orders) for engine in fleet.engines),
        "kv_calls": fleet.store.calls,
        "violations": violations,
    }
    await fleet.stop()
    return summary


def demo(
    profile: str = "association",
    seed: int = 1,
    log_level: str = "WARNING",
    platform: bool = False,
) -> None:
    """Run the demonstration.

    Parameters
    ----------
    profile : str
        ``association`` or ``register``.
    seed : int
        Seed of all random choices.
    log_level : str
        Minimum level of log lines on standard error.
    platform : bool
        Run on stand-ins of the operator platform instead.
    """
    set_up_logs(log_level)
    if profile not in PROFILES:
        print(f"unknown profile {profile!r}; known: {', '.join(PROFILES)}", file=sys.stderr)
        sys.exit(2)
    if platform:
        summary = asyncio.run(run_platform_demo())
    else:
        summary = asyncio.run(run_demo(PROFILES[profile], seed))
    for name, value in summary.items():
        print(f"{name:26} {value}")
    print(json.dumps(summary))
    sys.exit(1 if summary["violations"] else 0)


def main() -> None:
    """Run the command line."""
    fire.Fire(demo)
