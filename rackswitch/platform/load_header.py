"""Parses the load reports in targets' answers.

The header contains integers separated by commas: running requests, waiting requests, slots, and
for some services the pace in percent of the typical time.
"""

from collections.abc import Mapping

from rackswitch.platform.counts import parse_count
from rackswitch.platform.names import SERVER_LOAD_HEADER
from rackswitch.routing import ReportedLoad

__all__ = ["parse_load_report"]

MIN_FIELDS = 3
"""Running, waiting, slots; a header with fewer fields is ignored."""

PACE_INDEX = 3
"""Index of the optional pace."""

TYPICAL_PERCENT = 100
"""The pace at which work takes its typical time."""

MAX_PERCENT = 100_000
"""A larger pace is treated as an error of the target."""

MAX_DIGITS = 9
"""Bounds the cost of converting a number."""


def parse_load_report(headers: Mapping[str, str], now_seconds: float) -> ReportedLoad | None:
    """Return the load report in an answer's headers; None if there is no valid one.

    Parameters
    ----------
    headers : mapping of str to str
        The answer's headers.
    now_seconds : float
        Time at which the answer arrived (monotonic).
    """
    parts = headers.get(SERVER_LOAD_HEADER, "").split(",")
    fields = [parse_count(part, MAX_DIGITS) for part in parts[: PACE_INDEX + 1]]
    if len(fields) < MIN_FIELDS:
        return None
    running, waiting, slots = fields[:MIN_FIELDS]
    if running is None or waiting is None or not slots:
        return None
    if len(fields) <= PACE_INDEX:
        return ReportedLoad(running, waiting, slots, None, now_seconds)
    percent = fields[PACE_INDEX]
    if not percent or percent > MAX_PERCENT:
        return None
    return ReportedLoad(running, waiting, slots, percent / TYPICAL_PERCENT, now_seconds)
