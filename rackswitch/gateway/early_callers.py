"""Callers of a daemon that is still starting."""

from dataclasses import dataclass

from rackswitch.gateway.start_forecast import StartForecast, StartRefusal, refusal_of_waiting
from rackswitch.listening import EarlyConnection, EarlyConnections, boot_seconds
from rackswitch.platform.early_heads import parse_early_head

__all__ = ["POLL_INTERVAL_SECONDS", "EarlyCallers", "EarlyRefusal"]

POLL_INTERVAL_SECONDS = 0.02
"""Interval at which connections that arrive before the callers' server has started are read."""


@dataclass(frozen=True, slots=True)
class EarlyRefusal:
    """A request that was refused during the start.

    Attributes
    ----------
    detail : str
        Why, and how long it had waited, for the log.
    """

    request_id: str
    path: str
    detail: str


class EarlyCallers:
    """Holds callers' requests during the start, and refuses those that cannot be served in time.

    Parameters
    ----------
    connections : EarlyConnections
        Accepts and reads the connections.
    started_seconds : float
        When the imports began (boot clock).

    Attributes
    ----------
    refusals : list of EarlyRefusal
        The requests refused so far.
    """

    __slots__ = (
        "_connections",
        "_forecast",
        "_next_poll_seconds",
        "_stop_deadline_seconds",
        "refusals",
    )

    def __init__(self, connections: EarlyConnections, started_seconds: float):
        self._connections = connections
        self._forecast = StartForecast(started_seconds)
        self._next_poll_seconds = started_seconds
        self._stop_deadline_seconds: float | None = None
        self.refusals: list[EarlyRefusal] = []

    def record_import(self) -> None:
        """Record that the import of a module begins, and poll if the last poll was long ago."""
        self._forecast.record_import()
        if boot_seconds() >= self._next_poll_seconds:
            self.poll()

    def record_imports_ended(self) -> None:
        """Record that only the event loop is missing."""
        self._forecast.record_imports_ended()

    def record_stop(self, deadline_seconds: float) -> None:
        """Record a planned stop, and until when it lets requests be served (boot clock)."""
        self._stop_deadline_seconds = deadline_seconds

    def poll(self) -> None:
        """Accept and read the connections, and refuse requests that cannot be served in time."""
        # Set first, as a poll that imports a module would poll again.
        self._next_poll_seconds = boot_seconds() + POLL_INTERVAL_SECONDS
        self._connections.poll()
        now_seconds = boot_seconds()
        for early in self._connections.open_connections:
            self._refuse_if_late(early, now_seconds)

    def take(self) -> list[EarlyConnection]:
        """Return the connections that the server takes over."""
        return self._connections.take()

    def _refuse_if_late(self, early: EarlyConnection, now_seconds: float) -> None:
        received_at_seconds = early.received_at_seconds
        if received_at_seconds is None:
            return
        head = parse_early_head(bytes(early.received), received_at_seconds)
        if head is None:
            return
        refusal = refusal_of_waiting(
            received_at_seconds,
            head.deadline_seconds,
            self._forecast.ready_at_seconds(now_seconds),
            self._stop_deadline_seconds,
            now_seconds,
        )
        if refusal is None:
            return
        waited_seconds = now_seconds - received_at_seconds
        detail = f"{refusal.detail}, the request waited {waited_seconds:.3f} s"
        self.refusals.append(EarlyRefusal(head.request_id, head.path, detail))
        self._connections.answer(early, _response(refusal, now_seconds))


def _response(refusal: StartRefusal, now_seconds: float) -> bytes:
    """Return the response to a request that has not run and will not run."""
    body = refusal.detail.encode()
    head = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        "content-type: text/plain; charset=utf-8\r\n"
        f"content-length: {len(body)}\r\n"
        f"retry-after: {max(0.0, refusal.retry_at_seconds - now_seconds):.3f}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body
