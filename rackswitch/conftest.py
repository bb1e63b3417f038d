"""Profile of the randomised tests, memory between them, and the tests that fail at times."""

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

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red() -> list[tuple[str, str]]:
    """Return (test, reason) of each line of the list."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    split = [line.split("|", 1) for line in lines if line.strip()]
    return [(test.strip(), reason.strip()) for test, reason in split]


def pytest_collection_modifyitems(items) -> None:
    """Let CI pass over the listed tests, which still run."""
    for test, reason in known_red():
        for item in items:
            if item.nodeid.split("[")[0].endswith(test):
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_runtest_logstart() -> None:
    """Keep what earlier tests left out of the collections of later ones.

    Daemons, targets and callers of a test share this process, and a collection holds them all up:
    over what a whole run leaves behind it takes as long as some requests have.
    """
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the listed tests at the end of each run."""
    for test, reason in known_red():
        terminalreporter.write_line(f"KNOWN RED: {test}: {reason}")
