import random

import hypothesis.strategies as st
from hypothesis import given, settings

from rackswitch.explain import Clocks, read_events
from rackswitch.explain.tests.support import LoggingDaemon
from rackswitch.telemetry.events import Stopped, TableInForce, VersionNamed


def log_shared_events(daemon: LoggingDaemon, rng: random.Random, count: int = 12) -> None:
    """Log events that all daemons share, each after a short random delay."""
    for number in range(count):
        logged_at_seconds = 10.0 + 2 * number + rng.uniform(0.0, 0.02)
        if number % 2:
            event = TableInForce(revision=number, revision_before=number - 2)
        else:
            event = VersionNamed(model="m", version=number, version_before=number - 2)
        daemon.log(logged_at_seconds, event)


@settings(max_examples=50)
@given(st.integers(0, 1000), st.lists(st.floats(-300.0, 300.0), min_size=2, max_size=5))
def test_lines_of_daemons_with_different_clocks_are_ordered_by_true_time(seed, ahead_seconds):
    rng = random.Random(seed)
    daemons = [
        LoggingDaemon(f"d{n}", n * 0.1, daemon_ahead_seconds)
        for n, daemon_ahead_seconds in enumerate(ahead_seconds)
    ]
    for daemon in daemons:
        log_shared_events(daemon, rng)
    order = list(range(len(daemons)))
    rng.shuffle(order)
    for position, number in enumerate(order):
        daemons[number].log(40.0 + 0.1 * position, Stopped(whole=True))
    log = read_events(line for daemon in daemons for line in daemon.lines)
    clocks = Clocks(log.events)
    stops = [line for line in log.events if isinstance(line.event, Stopped)]
    stops.sort(key=clocks.at_seconds)
    assert [line.daemon for line in stops] == [f"d{number}" for number in order]


def test_wall_clock_jump_does_not_change_times_within_a_process():
    daemon = LoggingDaemon("d0")
    for number in range(20):
        daemon.log(float(number), TableInForce(revision=number, revision_before=number - 1))
    daemon.ahead_seconds = 2.0
    daemon.log(20.0, Stopped(whole=True))
    log = read_events(daemon.lines)
    clocks = Clocks(log.events)
    assert abs(clocks.at_seconds(log.events[-1]) - clocks.at_seconds(log.events[0]) - 20.0) < 0.01


def test_process_without_shared_events_keeps_its_own_clock():
    isolated = LoggingDaemon("lone")
    isolated.log(5.0, Stopped(whole=True))
    other = LoggingDaemon("other")
    log_shared_events(other, random.Random(1))
    log = read_events([*other.lines, *isolated.lines])
    assert Clocks(log.events).at_seconds(log.events[-1]) == 1_700_000_005.0
