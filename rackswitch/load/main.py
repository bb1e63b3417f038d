"""The program ``rackswitch-load``: campaigns of load and faults."""

import asyncio
import sys

import fire
import msgspec

from rackswitch.demo.main import PROFILES
from rackswitch.load.campaign import Campaign
from rackswitch.telemetry import set_up_logs

__all__ = ["main"]

SECONDS_PER_RUN = 30.0


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
            report = asyncio.run(Campaign(PROFILES[profile], seed + number).run(run_seconds))
            print(msgspec.json.encode(report).decode(), flush=True)
            if report.violations:
                bad += 1
                print(
                    f"replay: rackswitch-load campaign --seed={report.seed} --minutes=0"
                    f" --profile={profile} --run_seconds={run_seconds}",
                    flush=True,
                )
        sys.exit(1 if bad else 0)


def main() -> None:
    """Entry point."""
    fire.Fire(Commands)
