"""Reading what targets say of their own load.

The header holds whole numbers with commas between them: requests running, requests waiting, slots,
and at some services the pace in percent of the usual time.
"""

from collections.abc import Mapping

from rackswitch.platform.names import SERVER_LOAD_HEADER
from rackswitch.routing import ReportedLoad

__all__ = ["load_word_of"]

MIN_FIGURES = 3
"""Running, waiting, slots; with fewer there is no word."""

PACE_FIGURE = 3
"""Index of the pace, if there is one."""

USUAL_PERCENT = 100
"""The pace of a target at which work takes its usual time."""

MAX_PERCENT = 100_000
"""A pace over this, a thousand times slower than usual, is taken for an error of the target."""

MAX_DIGITS = 9
"""Longer numbers are no counts, and would be costly to convert."""


def load_word_of(headers: Mapping[str, str], now_seconds: float) -> ReportedLoad | None:
    """Return the load that a target tells with an answer; None if it tells none that makes sense.

    Parameters
    ----------
    headers : mapping of str to str
        The answer's headers.
    now_seconds : float
        When the answer came (monotonic).
    """
    parts = headers.get(SERVER_LOAD_HEADER, "").split(",")
    figures = [_figure(part) for part in parts[: PACE_FIGURE + 1]]
    if len(figures) < MIN_FIGURES:
        return None
    running, waiting, slots = figures[:MIN_FIGURES]
    if running is None or waiting is None or not slots:
        return None
    if len(figures) <= PACE_FIGURE:
        return ReportedLoad(running, waiting, slots, None, now_seconds)
    percent = figures[PACE_FIGURE]
    if not percent or percent > MAX_PERCENT:
        return None
    return ReportedLoad(running, waiting, slots, percent / USUAL_PERCENT, now_seconds)


def _figure(text: str) -> int | None:
    """Return a whole number as it stands in a header, or None."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
