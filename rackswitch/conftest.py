"""Hypothesis profile, garbage collection between tests, and the list of known failures."""

import gc
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from loguru import logger

logger.remove()

settings.register_profile(
    "steady",
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)
settings.load_profile("steady")

KNOWN_FAILURES_PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_failures() -> list[tuple[str, str]]:
    """Return (test, reason) for each line of KNOWN-RED.txt."""
    lines = KNOWN_FAILURES_PATH.read_text().splitlines() if KNOWN_FAILURES_PATH.exists() else []
    fields = [line.split("|", 1) for line in lines if line.strip()]
    return [(test.strip(), reason.strip()) for test, reason in fields]


def pytest_collection_modifyitems(items) -> None:
    """Mark the listed tests as expected failures; they still run."""
    for test, reason in known_failures():
        for item in items:
            if item.nodeid.split("[")[0].endswith(test):
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_runtest_logstart() -> None:
    """Exclude objects of earlier tests from garbage collection.

    A collection over the objects of all earlier tests would block the event loop for longer than
    some request deadlines.
    """
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the listed tests at the end of each run."""
    for test, reason in known_failures():
        terminalreporter.write_line(f"KNOWN RED: {test}: {reason}")
