"""First part of the start, before the imports that take most of its time.

The listening sockets are opened here, so that connections wait in the backlog instead of being
reset. Imports of this module delay the listening, so it imports nothing but the settings.
"""

import contextlib
import signal
import socket
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from types import FrameType
from typing import Any

from rackswitch.gateway.early_callers import EarlyCallers
from rackswitch.gateway.start_forecast import STOP_MARGIN_SECONDS
from rackswitch.listening import EarlyConnections, boot_seconds, open_listening_socket
from rackswitch.platform.settings import Address, NodeSettings, read_node_settings
from rackswitch.settings import SettingsFault

__all__ = ["EXIT_BAD_SETTINGS", "EarlyStart", "start_early"]

EXIT_BAD_SETTINGS = 2


class _ImportObserver:
    """A finder of modules that finds none, and calls a function before each search.

    Parameters
    ----------
    on_import : callable
        Called before each module is imported.
    """

    __slots__ = ("_on_import",)

    def __init__(self, on_import: Callable[[], None]):
        self._on_import = on_import

    def find_spec(self, name: str, path: object = None, target: object = None) -> None:
        """Call the function; the next finder of `sys.meta_path` looks for the module."""
        self._on_import()


@dataclass(slots=True)
class EarlyStart:
    """What a starting process has done and received before its event loop runs.

    Attributes
    ----------
    settings : NodeSettings
        Settings of the daemon.
    process_started_seconds : float
        When the start began, after the interpreter's own start (boot clock). The kernel's time of
        the process's start is not used, as it may count from another origin in a container.
    sockets : dict of Address to socket
        Listening sockets by address. The servers of these addresses take them over.
    callers : EarlyCallers or None
        Callers whose requests are read during the start; None if this VM serves no callers or
        failed to listen.
    listening_seconds : float
        When the sockets were opened (boot clock).
    stop_requested_seconds : float or None
        When the first stop signal arrived (boot clock). The planned stop begins once the daemon
        has started, since the connections in the backlog would otherwise be reset.
    """

    settings: NodeSettings
    process_started_seconds: float
    sockets: dict[Address, socket.socket] = field(default_factory=dict)
    callers: EarlyCallers | None = None
    listening_seconds: float = 0.0
    stop_requested_seconds: float | None = None

    @contextlib.contextmanager
    def reading_callers(self) -> Iterator[None]:
        """Read callers' requests whenever a module is imported in this context."""
        if self.callers is None:
            yield
            return
        observer: Any = _ImportObserver(self.callers.record_import)
        sys.meta_path.insert(0, observer)
        try:
            yield
        finally:
            sys.meta_path.remove(observer)
        self.callers.record_imports_ended()
        self.callers.poll()

    def request_stop(self, signal_number: int, frame: FrameType | None) -> None:
        """Record a stop signal (signal handler)."""
        if self.stop_requested_seconds is not None:
            return
        self.stop_requested_seconds = boot_seconds()
        if self.callers is not None:
            grace_seconds = self.settings.stop_grace_seconds - STOP_MARGIN_SECONDS
            self.callers.record_stop(self.stop_requested_seconds + grace_seconds)


def start_early() -> EarlyStart:
    """Read the settings and listen for callers and readiness checks.

    Bad settings end the process with one line and `EXIT_BAD_SETTINGS`.
    """
    started_seconds = boot_seconds()
    settings = read_node_settings()
    if isinstance(settings, SettingsFault):
        print(settings.line, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    early_start = EarlyStart(settings, started_seconds)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, early_start.request_stop)
    for address in (settings.callers, settings.readiness):
        if address is not None:
            _listen(early_start, address)
    if settings.callers in early_start.sockets:
        early_start.callers = EarlyCallers(
            EarlyConnections(early_start.sockets[settings.callers]), started_seconds
        )
    early_start.listening_seconds = boot_seconds()
    return early_start


def _listen(early_start: EarlyStart, address: Address) -> None:
    if address in early_start.sockets:
        return
    try:
        early_start.sockets[address] = open_listening_socket(address.host, address.port)
    except OSError:
        # The address's server tries again when it starts, and reports the error if it persists.
        return
