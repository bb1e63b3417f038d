"""What callers get of four targets when many daemons press on them."""

import pytest

from rackswitch.admission.tests.simulated_load import (
    NETWORK_SECONDS,
    AdmissionPlay,
    PolledPlay,
    Sizes,
    figures,
)

SMALL = Sizes(daemons=20, tenants=24, targets=4, slots=6, queue=20)
SECONDS = 6.0
WARM_SECONDS = 2.0


def played(load: float, way=AdmissionPlay, **changes) -> tuple[AdmissionPlay, object]:
    play = way(load, 5, SECONDS, SMALL)
    play.bursts = False
    for name, value in changes.items():
        setattr(play, name, value)
    play.run()
    return play, figures(play, WARM_SECONDS)


def gone_and_back(played_load: float, way=AdmissionPlay, seed: int = 5) -> AdmissionPlay:
    """Return a play whose targets are all gone from its second to its third second."""
    play = way(played_load, seed, SECONDS, SMALL)
    play.bursts = False

    def turn(is_gone: bool) -> None:
        for target in play.targets:
            target.is_gone = is_gone

    play.at(2.0, lambda: turn(True))
    play.at(3.0, lambda: turn(False))
    return play


def test_twice_the_load_is_answered_as_far_as_there_is_room():
    _, shipped = played(2.0)
    _, polled = played(2.0, PolledPlay)
    assert shipped.goodput >= 0.9
    assert polled.goodput < 0.5
    assert shipped.refused_at_once_share >= 0.95
    assert shipped.refused_while_half_free == 0
    assert shipped.refused_while_shown_free == 0
    assert shipped.run_twice == 0


def test_all_refusals_come_at_once():
    _, shipped = played(2.0)
    assert shipped.refused_at_once_share == 1.0


def test_an_overload_keeps_the_first_rank_waiting_little_longer():
    _, light = played(0.7)
    _, heavy = played(2.0)
    assert heavy.first_rank_p99_seconds <= 1.3 * light.first_rank_p99_seconds


def test_tenants_of_one_rank_that_want_more_than_their_share_get_alike():
    _, shipped = played(2.0, rank_weights=(0.0, 1.0, 0.0))
    assert shipped.jain > 0.95


def test_tenants_of_each_rank_that_want_more_than_their_share_get_alike():
    play = AdmissionPlay(2.0, 5, 10.0, SMALL)
    play.bursts = False
    play.run()
    assert figures(play, WARM_SECONDS).jain > 0.95


def test_as_an_overload_ends_nobody_is_refused_while_places_are_free():
    play = AdmissionPlay(3.0, 5, SECONDS, SMALL)
    play.bursts = False
    play.at(SECONDS / 2, lambda: setattr(play, "load", 0.3))
    play.run()
    assert play.tally.refused_after_seconds
    assert play.tally.refused_while_half_free == 0


def test_as_targets_come_back_nobody_is_refused_while_places_are_free():
    play = gone_and_back(played_load=0.9)
    play.run()
    assert play.tally.refused_after_seconds
    assert play.tally.refused_while_half_free == 0


class ReturnPlay(AdmissionPlay):
    """Counts refusals that an answer sent after the targets' return could have prevented."""

    def _refuse(self, daemon, caller, decision, refused):
        counted = self.tally.refused_while_half_free
        super()._refuse(daemon, caller, decision, refused)
        if self.now <= 3.0 + NETWORK_SECONDS:
            self.tally.refused_while_half_free = counted


@pytest.mark.parametrize("seed", [5, 31, 32, 33])
def test_a_network_delay_after_targets_are_back_nobody_is_refused_while_places_are_free(seed):
    # Guards against refusing calls by anything that was heard before the targets came back.
    play = gone_and_back(0.9, ReturnPlay, seed)
    play.run()
    assert play.tally.refused_after_seconds
    assert play.tally.refused_while_half_free == 0


def test_the_first_rank_is_served_through_an_overload():
    _, shipped = played(2.0)
    assert shipped.served[0] >= 0.9
    assert shipped.served[0] > shipped.served[1] >= shipped.served[2] - 0.05


def test_an_urgent_burst_leaves_the_last_rank_its_part():
    _, shipped = played(2.0, rank_weights=(0.8, 0.0, 0.2))
    assert shipped.served[2] > 0


def test_without_pressure_nobody_is_refused():
    play, shipped = played(0.5)
    assert min(shipped.served.values()) == 1.0
    assert len(play.tally.refused_after_seconds) <= 0.001 * len(play.tally.served)


def test_a_tenant_with_twenty_times_its_share_does_not_crowd_others_out():
    weights = [1.0] * SMALL.tenants
    weights[0] = 20.0
    play, _ = played(1.5, rank_weights=(0.0, 1.0, 0.0), tenant_weights=weights)
    lost = [c.tenant for c in play.tally.lost if c.first_seconds > WARM_SECONDS]
    got = [c.tenant for c, _ in play.tally.served if c.first_seconds > WARM_SECONDS]
    others_lost = sum(tenant != "t0" for tenant in lost)
    others_got = sum(tenant != "t0" for tenant in got)
    large_lost = lost.count("t0")
    large_got = got.count("t0")
    assert large_lost / (large_lost + large_got) > 2 * others_lost / (others_lost + others_got)


def test_a_quarter_of_the_targets_slow_leaves_most_of_the_rest():
    play = AdmissionPlay(1.2, 5, SECONDS, SMALL)
    play.bursts = False
    play.at(1.0, lambda: setattr(play.targets[0], "pace", 6.0))
    play.run()
    found = figures(play, WARM_SECONDS)
    assert found.served[0] >= 0.9
    assert found.goodput >= 0.5
    assert found.run_twice == 0


def test_all_targets_gone_and_back_at_once_are_not_overrun():
    play = gone_and_back(played_load=0.9)
    longest = [0]

    def watch() -> None:
        longest[0] = max(longest[0], *(len(target.queue) for target in play.targets))
        if play.now < 3.5:
            play.at(play.now + 0.005, watch)

    play.at(3.0, watch)
    play.run()
    after = [(c, at) for c, at in play.tally.served if c.first_seconds > 4.0]
    lost = [c for c in play.tally.lost if c.first_seconds > 4.0]
    assert longest[0] < SMALL.queue
    assert len(after) / (len(after) + len(lost)) >= 0.9


@pytest.mark.parametrize("seed", [1, 2])
def test_a_daemon_whose_neighbours_are_idle_has_all_there_is(seed):
    play = AdmissionPlay(0.6, seed, 4.0, Sizes(daemons=1, tenants=8))
    play.bursts = False
    play.run()
    found = figures(play, 1.0)
    assert min(found.served.values()) >= 0.99
