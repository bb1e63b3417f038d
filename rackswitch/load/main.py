"""The program ``rackswitch-load``: campaigns and soaks of load and faults."""

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
END_TIMEOUT_SECONDS = 120.0
SOAK_TIMEOUT_SECONDS = 120.0
"""Beyond a soak's own time, for its start, its last faults and its recovery."""

EXIT_NOT_ENDED = 6


async def _run_bounded(campaign: Campaign, run_seconds: float) -> CampaignReport:
    """Run a campaign; one that does not end shows what waits, and ends the program."""
    task = asyncio.create_task(campaign.run(run_seconds))
    done, _ = await asyncio.wait({task}, timeout=run_seconds + END_TIMEOUT_SECONDS)
    if done:
        return task.result()
    print(f"seed {campaign.report.seed} did not end; what waits:", flush=True)
    for waiting in asyncio.all_tasks():
        frames = [f"{frame.f_code.co_qualname}:{frame.f_lineno}" for frame in waiting.get_stack()]
        print(" ", waiting.get_name(), " < ".join(reversed(frames)), flush=True)
    # The waiting tasks may not give way to an orderly end.
    os._exit(EXIT_NOT_ENDED)


async def _run_soak(soak: Soak, seconds: float) -> SoakReport:
    """Run a soak; an order to stop ends it with all that it started."""
    task = asyncio.create_task(soak.run(seconds))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, seconds + SOAK_TIMEOUT_SECONDS)


class Commands:
    """Load and experiments on an embedded fleet."""

    def campaign(
        self,
        minutes: float = 5.0,
        seed: int = 1,
        profile: str = "association",
        run_seconds: float = SECONDS_PER_RUN,
    ) -> None:
        """Run campaigns with consecutive seeds for a number of minutes.

        Prints a JSON line for each run, and a line to replay each that had violations.
        """
        set_up_logs("CRITICAL")
        if profile not in PROFILES:
            print(f"unknown profile {profile!r}; known: {', '.join(PROFILES)}", file=sys.stderr)
            sys.exit(2)
        bad = 0
        for number in range(max(1, round(minutes * 60 / run_seconds))):
            campaign = Campaign(PROFILES[profile], seed + number)
            report = asyncio.run(_run_bounded(campaign, run_seconds))
            print(msgspec.json.encode(report).decode(), flush=True)
            if report.violations:
                bad += 1
                print(
                    f"replay: rackswitch-load campaign --seed={report.seed} --minutes=0"
                    f" --profile={profile} --run_seconds={run_seconds}",
                    flush=True,
                )
        sys.exit(1 if bad else 0)

    def soak(
        self,
        seconds: float = 30.0,
        seed: int | None = None,
        daemons: int = 4,
        faults: str = "",
    ) -> None:
        """Run real gateways as processes under faults, and check what must always hold.

        Prints the seed, the command that repeats it, and a JSON line of what was seen.

        Parameters
        ----------
        seconds : float
            How long faults come.
        seed : int, optional
            A fresh one by default.
        daemons : int
            How many gateways.
        faults : str
            Names of the faults that may come, with commas between; all by default.
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
    """Entry point."""
    fire.Fire(Commands)
