"""The program ``rackswitch-load``: runs campaigns and soaks under load and faults."""

import asyncio
import os
import secrets
import signal
import sys
import tempfile
from pathlib import Path

import fire
import msgspec

from rackswitch.demo.main import PROFILES
from rackswitch.load.campaign import Campaign, CampaignReport
from rackswitch.load.soak import Soak, SoakReport
from rackswitch.load.soak_faults import SOAK_FAULTS
from rackswitch.telemetry import set_up_logs

__all__ = ["main"]

SECONDS_PER_RUN = 30.0
CAMPAIGN_END_TIMEOUT_SECONDS = 120.0
SOAK_TIMEOUT_SECONDS = 120.0
"""Time allowed beyond the duration of the soak for start, last faults and recovery."""

EXIT_TIMED_OUT = 6


async def _run_bounded(campaign: Campaign, run_seconds: float) -> CampaignReport:
    """Run a campaign; if it does not end in time, print its pending tasks and exit."""
    task = asyncio.create_task(campaign.run(run_seconds))
    finished, _ = await asyncio.wait({task}, timeout=run_seconds + CAMPAIGN_END_TIMEOUT_SECONDS)
    if finished:
        return task.result()
    print(f"seed {campaign.report.seed} did not end in time; pending tasks:", flush=True)
    for pending in asyncio.all_tasks():
        frames = [f"{frame.f_code.co_qualname}:{frame.f_lineno}" for frame in pending.get_stack()]
        print(" ", pending.get_name(), " < ".join(reversed(frames)), flush=True)
    # Skips the usual shutdown, which could block on the pending tasks.
    os._exit(EXIT_TIMED_OUT)


async def _run_soak(soak: Soak, seconds: float) -> SoakReport:
    """Run a soak; SIGTERM cancels it and stops all processes that it started."""
    task = asyncio.create_task(soak.run(seconds))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, seconds + SOAK_TIMEOUT_SECONDS)


class Commands:
    """Runs load and faults against daemons."""

    def campaign(
        self,
        minutes: float = 5.0,
        seed: int = 1,
        profile: str = "association",
        run_seconds: float = SECONDS_PER_RUN,
    ) -> None:
        """Run campaigns with consecutive seeds for a number of minutes.

        Prints a JSON line for each run, and the command to repeat each run with violations.
        """
        set_up_logs("CRITICAL")
        if profile not in PROFILES:
            print(f"unknown profile {profile!r}; known: {', '.join(PROFILES)}", file=sys.stderr)
            sys.exit(2)
        failed_runs = 0
        for number in range(max(1, round(minutes * 60 / run_seconds))):
            campaign = Campaign(PROFILES[profile], seed + number)
            report = asyncio.run(_run_bounded(campaign, run_seconds))
            print(msgspec.json.encode(report).decode(), flush=True)
            if report.violations:
                failed_runs += 1
                print(
                    f"replay: rackswitch-load campaign --seed={report.seed} --minutes=0"
                    f" --profile={profile} --run_seconds={run_seconds}",
                    flush=True,
                )
        sys.exit(1 if failed_runs else 0)

    def soak(
        self,
        seconds: float = 30.0,
        seed: int | None = None,
        daemons: int = 4,
        faults: str = "",
    ) -> None:
        """Run gateway processes under faults and check their guarantees.

        Prints the seed, the command to repeat the run, and a JSON line with the result.

        Parameters
        ----------
        seconds : float
            How long faults are injected.
        seed : int, optional
            Random by default.
        daemons : int
            Number of gateways.
        faults : str
            Comma-separated names of the faults to inject; all by default.
        """
        set_up_logs("CRITICAL")
        names = [str(name) for name in faults] if isinstance(faults, tuple) else faults.split(",")
        names = [name for name in names if name]
        unknown = [name for name in names if name not in SOAK_FAULTS]
        if unknown:
            known = ", ".join(SOAK_FAULTS.names())
            print(f"unknown faults {unknown}; known: {known}", file=sys.stderr)
            sys.exit(2)
        seed = secrets.randbelow(1_000_000) if seed is None else seed
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        print(
            f"seed {seed}, logs in {folder}; repeat: rackswitch-load soak --seed={seed}"
            f" --seconds={seconds} --daemons={daemons}"
            + (f" --faults={','.join(names)}" if names else ""),
            flush=True,
        )
        report = asyncio.run(_run_soak(Soak(seed, daemons, folder, names), seconds))
        print(msgspec.json.encode(report).decode(), flush=True)
        sys.exit(1 if report.violations else 0)


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands)
