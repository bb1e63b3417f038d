"""Changes reach daemons in time although other parts of the fleet go silent, in seeded runs."""

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.store.tests.silence_run import run_disruptions, use_simulated_channels


@pytest.mark.parametrize("seed", range(6))
def test_changes_arrive_in_time_after_open_connections_go_silent(seed, monkeypatch):
    use_simulated_channels(monkeypatch)
    assert run_on_virtual_clock(run_disruptions(seed, ["silence"], slow_before=False)) == []


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("slow_before", [False, True])
@pytest.mark.parametrize(
    "kinds",
    [
        ["freeze", "cut"],
        ["silence", "cut"],
        ["silence", "freeze"],
        ["silence", "cut", "freeze"],
        ["silence", "restart", "cut"],
        ["reject", "restart", "freeze"],
    ],
)
def test_changes_arrive_in_time_despite_overlapping_disruptions(
    kinds, slow_before, seed, monkeypatch
):
    use_simulated_channels(monkeypatch)
    assert run_on_virtual_clock(run_disruptions(seed, kinds, slow_before)) == []


@pytest.mark.parametrize(
    ("seed", "kinds", "slow_before"),
    [
        (104, ["reject", "restart", "freeze"], False),
        (509, ["reject", "freeze", "freeze"], False),
        (522, ["reject", "reject", "freeze"], True),
        (529, ["silence", "reject", "freeze"], True),
    ],
)
def test_a_rejected_daemon_is_current_although_its_first_peers_are_silent(
    seed, kinds, slow_before, monkeypatch
):
    # Guards against calls through peers that ask silent peers again before sound ones.
    use_simulated_channels(monkeypatch)
    assert run_on_virtual_clock(run_disruptions(seed, kinds, slow_before)) == []
