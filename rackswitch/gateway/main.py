"""Entry point of the gateway daemon on a VM of the operator platform."""

import asyncio
import signal
import sys

from loguru import logger

from rackswitch.clocks import run_on_boot_clock
from rackswitch.gateway.core import Gateway
from rackswitch.gateway.policy import PolicySettings, read_policy
from rackswitch.platform.settings import NodeSettings, read_node_settings
from rackswitch.settings import SettingsFault
from rackswitch.telemetry import set_up_logs
from rackswitch.telemetry.events import ReloadRefused

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
EXIT_BROKEN_INVARIANT = 3
CHECK_INTERVAL_SECONDS = 0.2
RELOAD_INTERVAL_SECONDS = 2.0
"""Interval between reads of the settings file, which may also change without a signal."""


class _Signals:
    """Signals received from the platform."""

    __slots__ = ("reload", "stop")

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)


async def _run(settings: NodeSettings, policy: PolicySettings) -> int:
    signals = _Signals()
    gateway = Gateway(settings, policy=policy)
    await gateway.start()
    loop = asyncio.get_running_loop()
    next_reload_seconds = loop.time() + RELOAD_INTERVAL_SECONDS
    while not signals.stop.is_set():
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
    await gateway.stop()
    await gateway.close()
    return 0


def _reload(gateway: Gateway) -> None:
    settings = read_node_settings()
    if isinstance(settings, SettingsFault):
        gateway.log.write(ReloadRefused(detail=settings.line))
    elif settings != gateway.settings:
        gateway.settings_changed(settings)


def main() -> None:
    """Run the daemon with the settings file that the platform provides."""
    set_up_logs()
    settings = read_node_settings()
    if isinstance(settings, SettingsFault):
        print(settings.line, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    policy = read_policy()
    if isinstance(policy, SettingsFault):
        print(policy.line, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(run_on_boot_clock(_run(settings, policy)))
