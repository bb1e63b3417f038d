"""Entry point of the gateway daemon on a VM of the operator platform."""

import asyncio
import signal
import sys

from loguru import logger

from rackswitch.clocks import run_on_boot_clock
from rackswitch.gateway.core import Gateway
from rackswitch.gateway.early_start import EXIT_BAD_SETTINGS, EarlyStart, start_early
from rackswitch.gateway.policy import PolicySettings, read_policy
from rackswitch.gateway.start_times import StartPart, StartTimes
from rackswitch.platform.settings import read_node_settings
from rackswitch.settings import SettingsFault
from rackswitch.telemetry import set_up_logs
from rackswitch.telemetry.events import ReloadRefused

__all__ = ["main"]

EXIT_BROKEN_INVARIANT = 3
CHECK_INTERVAL_SECONDS = 0.2
RELOAD_INTERVAL_SECONDS = 2.0
"""Interval between reads of the settings file, which may also change without a signal."""


class _Signals:
    """Signals received from the platform, including those that arrived before the event loop ran.

    Attributes
    ----------
    stop_requested_seconds : float or None
        When the first stop signal arrived (event loop time).
    """

    __slots__ = ("reload", "stop_requested_seconds")

    def __init__(self, early_start: EarlyStart) -> None:
        self.reload = asyncio.Event()
        self.stop_requested_seconds: float | None = None
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)
        # Read after the loop's handlers are installed, so that no signal is missed in between.
        self.stop_requested_seconds = early_start.stop_requested_seconds

    def _request_stop(self) -> None:
        if self.stop_requested_seconds is None:
            self.stop_requested_seconds = asyncio.get_running_loop().time()


async def _run(early_start: EarlyStart, policy: PolicySettings) -> int:
    signals = _Signals(early_start)
    start_times = StartTimes(early_start.process_started_seconds)
    start_times.record(StartPart.LISTENING, early_start.listening_seconds)
    start_times.record(StartPart.EVENT_LOOP, asyncio.get_running_loop().time())
    gateway = Gateway(
        early_start.settings,
        policy=policy,
        sockets=early_start.sockets,
        early_callers=early_start.callers,
        start_times=start_times,
    )
    await gateway.start()
    loop = asyncio.get_running_loop()
    # The settings file may have changed while SIGHUP was ignored.
    next_reload_seconds = loop.time()
    while signals.stop_requested_seconds is None:
        if gateway.context.daemon.violated_invariant is not None:
            logger.critical("stopping on a broken invariant")
            gateway.log.flush()
            return EXIT_BROKEN_INVARIANT
        gateway.check_suspension()
        if signals.reload.is_set() or loop.time() >= next_reload_seconds:
            signals.reload.clear()
            next_reload_seconds = loop.time() + RELOAD_INTERVAL_SECONDS
            _reload(gateway)
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
    await gateway.stop(signals.stop_requested_seconds)
    await gateway.close()
    return 0


def _reload(gateway: Gateway) -> None:
    settings = read_node_settings()
    if isinstance(settings, SettingsFault):
        gateway.log.write(ReloadRefused(detail=settings.line))
    elif settings != gateway.settings:
        gateway.settings_changed(settings)


def main(early_start: EarlyStart | None = None) -> None:
    """Run the daemon with the settings file that the platform provides.

    Parameters
    ----------
    early_start : EarlyStart, optional
        What the process has done before it imported this module.
    """
    set_up_logs()
    if early_start is None:
        early_start = start_early()
    policy = read_policy()
    if isinstance(policy, SettingsFault):
        print(policy.line, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(run_on_boot_clock(_run(early_start, policy)))
