"""The program ``rackswitchd``."""

import asyncio
import signal
import sys

import fire
from loguru import logger

from rackswitch.clocks import run_on_boot_clock
from rackswitch.daemon.core import Daemon
from rackswitch.daemon.settings import DaemonSettings
from rackswitch.settings import SettingsFault, load_settings
from rackswitch.telemetry import set_up_logs

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
EXIT_BROKEN = 3
CHECK_INTERVAL_SECONDS = 0.2


async def _run(settings: DaemonSettings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = Daemon(settings, log_descriptor=1)
    await daemon.start()
    while not stop.is_set():
        if daemon.context.violated_invariant is not None:
            logger.critical("stopping on a broken invariant")
            return EXIT_BROKEN
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
    await daemon.stop()
    return 0


def run(settings: str) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of a settings file (JSON with comments).
    """
    set_up_logs()
    loaded = load_settings(settings, DaemonSettings)
    if isinstance(loaded, SettingsFault):
        print(loaded.line, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(run_on_boot_clock(_run(loaded)))


def main() -> None:
    """Run the command-line program."""
    fire.Fire(run)
