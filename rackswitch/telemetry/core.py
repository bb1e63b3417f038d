"""JSON log lines on standard error, and Prometheus metrics."""

import json
import logging
import sys
import traceback
from pathlib import Path
from typing import Any

from loguru import logger
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

from rackswitch.telemetry.meters import EventMeters

__all__ = ["Telemetry", "set_up_logs"]

PACKAGE_FOLDER = "rackswitch/"

LATENCY_BUCKET_BOUNDS_SECONDS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip


def set_up_logs(level: str = "INFO") -> None:
    """Write log records to standard error, one JSON object a line."""
    logger.remove()
    logger.add(_write_json_line, level=level, backtrace=False, diagnose=False)
    # Libraries such as grpclib and asyncio use the standard library's logging.
    logging.basicConfig(handlers=[_ForwardToLoguru()], level=logging.WARNING, force=True)


class _ForwardToLoguru(logging.Handler):
    """Forwards records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        message = f"{record.name}: {record.getMessage()}"
        logger.opt(exception=error).log(record.levelname, message)


def _write_json_line(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **{key: str(value) for key, value in record["extra"].items()},
    }
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
        line["raised_at"] = _raised_at(record["exception"].value)
    sys.stderr.write(json.dumps(line) + "\n")


def _raised_at(error: BaseException | None) -> str:
    """Return the innermost line of this package in an error's traceback, or an empty text."""
    frames = traceback.extract_tb(error.__traceback__) if error is not None else []
    package_frames = [frame for frame in frames if PACKAGE_FOLDER in frame.filename]
    return (
        f"{Path(package_frames[-1].filename).name}:{package_frames[-1].lineno}"
        if package_frames
        else ""
    )


class Telemetry:
    """The metrics of one daemon.

    Parameters
    ----------
    daemon : str
        The daemon's name, a label on all metrics.

    Attributes
    ----------
    events : EventMeters
        Metrics derived from logged events.
    """

    __slots__ = ("_daemon", "_latency", "_provider", "_registry", "_requests", "_tokens", "events")

    def __init__(self, daemon: str):
        self._daemon = daemon
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        # Not set as the global provider: several daemons may share a process.
        self._provider = MeterProvider(metric_readers=[reader])
        meter = self._provider.get_meter("rackswitch")
        self._latency = meter.create_histogram(
            "rackswitch_request_seconds",
            unit="s",
            description="Time from a request's arrival to the end of its answer.",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKET_BOUNDS_SECONDS,
        )
        self._requests = meter.create_counter(
            "rackswitch_requests", description="Requests by outcome."
        )
        self._tokens = meter.create_counter(
            "rackswitch_tokens", description="Tokens passed on to callers or put into samples."
        )
        self.events = EventMeters(meter, daemon, self.record_request)

    def record_request(
        self, tenant: str, caller_class: int, outcome: str, elapsed_seconds: float
    ) -> None:
        """Record the latency and outcome of a request."""
        labels = {"tenant": tenant, "caller_class": str(caller_class), "daemon": self._daemon}
        self._latency.record(elapsed_seconds, labels)
        self._requests.add(1, {**labels, "outcome": outcome})

    def count_tokens(self, tenant: str, tokens: int) -> None:
        """Count tokens sent to a tenant's callers or put into its samples."""
        self._tokens.add(tokens, {"tenant": tenant, "daemon": self._daemon})

    def exposition(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut the meter provider down."""
        self._provider.shutdown()
