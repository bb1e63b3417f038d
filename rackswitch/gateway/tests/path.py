"""Runs test scenarios on a fleet of complete gateways on loopback."""

import asyncio
from collections.abc import Awaitable, Callable

from rackswitch.clocks import run_on_boot_clock
from rackswitch.gateway.policy import PolicySettings
from rackswitch.standins.platform_fleet import PlatformFleet
from rackswitch.standins.platform_target import PlatformTargetStandIn

SCENARIO_SECONDS = 30.0


def run_scenario(
    scenario: Callable[[PlatformFleet], Awaitable[None]],
    policy: PolicySettings | None = None,
    **options: float,
) -> None:
    """Run a scenario on a new fleet with these options of `PlatformFleet`."""

    async def run_on_new_fleet() -> None:
        fleet = PlatformFleet(**options, policy=policy)
        await fleet.start()
        try:
            async with asyncio.timeout(SCENARIO_SECONDS):
                await scenario(fleet)
        finally:
            await fleet.stop()

    run_on_boot_clock(run_on_new_fleet())


def runs_of(targets: list[PlatformTargetStandIn], request_id: str) -> int:
    return sum(run.request_id == request_id for target in targets for run in target.runs)


async def wait_for(condition: Callable[[], bool], timeout_seconds: float = 8.0) -> None:
    async with asyncio.timeout(timeout_seconds):
        while not condition():
            await asyncio.sleep(0.02)


def check_complete(results: list[dict], pieces: list[int], job_id: str) -> None:
    """Check that every item is listed once, with its complete text and its own score."""
    by_id = {result["id"]: result for result in results}
    assert len(by_id) == len(results) == len(pieces)
    for number, count in enumerate(pieces):
        result = by_id[f"{job_id}-{number}"]
        assert result["state"] == "completed"
        assert result["text"] == "\n".join(f"piece {n}" for n in range(1, count + 1))
        assert result["score"].endswith(f"-{job_id}-score-{number}")
