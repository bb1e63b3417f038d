import random

import hypothesis.strategies as st
from hypothesis import given, settings

from rackswitch.explain import Clocks, read_events
from rackswitch.explain.tests.support import LoggingDaemon
from rackswitch.telemetry.events import Stopped, TableInForce, VersionNamed


def moments(daemon: LoggingDaemon, rng: random.Random, count: int = 12) -> None:
    """Let a daemon learn what all learn, each time a little later."""
    for number in range(count):
        learnt_seconds = 10.0 + 2 * number + rng.uniform(0.0, 0.02)
        if number % 2:
            event = TableInForce(revision=number, revision_before=number - 2)
        else:
            event = VersionNamed(model="m", version=number, version_before=number - 2)
        daemon.log(learnt_seconds, event)


@settings(max_examples=50)
@given(st.integers(0, 1000), st.lists(st.floats(-300.0, 300.0), min_size=2, max_size=5))
def test_lines_of_different_clocks_come_into_their_true_order(seed, ahead):
    rng = random.Random(seed)
    daemons = [LoggingDaemon(f"d{n}", n * 0.1, off) for n, off in enumerate(ahead)]
    for daemon in daemons:
        moments(daemon, rng)
    order = list(range(len(daemons)))
    rng.shuffle(order)
    for place, number in enumerate(order):
        daemons[number].log(40.0 + 0.1 * place, Stopped(whole=True))
    log = read_events(line for daemon in daemons for line in daemon.lines)
    clocks = Clocks(log.events)
    stops = [line for line in log.events if isinstance(line.event, Stopped)]
    stops.sort(key=clocks.at_seconds)
    assert [line.daemon for line in stops] == [f"d{number}" for number in order]


def test_a_time_of_day_that_jumps_does_not_tear_a_process_apart():
    daemon = LoggingDaemon("d0")
    for number in range(20):
        daemon.log(float(number), TableInForce(revision=number, revision_before=number - 1))
    daemon.ahead_seconds = 2.0
    daemon.log(20.0, Stopped(whole=True))
    log = read_events(daemon.lines)
    clocks = Clocks(log.events)
    assert abs(clocks.at_seconds(log.events[-1]) - clocks.at_seconds(log.events[0]) - 20.0) < 0.01


def test_a_process_that_shares_no_moment_keeps_its_own_clock():
    lone = LoggingDaemon("lone")
    lone.log(5.0, Stopped(whole=True))
    other = LoggingDaemon("other")
    moments(other, random.Random(1))
    log = read_events([*other.lines, *lone.lines])
    assert Clocks(log.events).at_seconds(log.events[-1]) == 1_700_000_005.0
