"""What callers get of four targets under load from many daemons."""

import pytest

from rackswitch.admission.tests.simulated_load import (
    NETWORK_SECONDS,
    AdmissionSimulation,
    PollingSimulation,
    Sizes,
    summarize,
)

SMALL = Sizes(daemons=20, tenants=24, targets=4, slots=6, queue=20)
SECONDS = 6.0
WARM_SECONDS = 2.0


def simulate(
    load: float, simulation_class=AdmissionSimulation, **attributes
) -> tuple[AdmissionSimulation, object]:
    simulation = simulation_class(load, 5, SECONDS, SMALL)
    simulation.has_reward_bursts = False
    for name, value in attributes.items():
        setattr(simulation, name, value)
    simulation.run()
    return simulation, summarize(simulation, WARM_SECONDS)


def with_outage(
    load: float, simulation_class=AdmissionSimulation, seed: int = 5
) -> AdmissionSimulation:
    """Return a simulation whose targets are all unavailable from second 2 to second 3."""
    simulation = simulation_class(load, seed, SECONDS, SMALL)
    simulation.has_reward_bursts = False

    def set_unavailable(is_unavailable: bool) -> None:
        for target in simulation.targets:
            target.is_unavailable = is_unavailable

    simulation.schedule(2.0, lambda: set_unavailable(True))
    simulation.schedule(3.0, lambda: set_unavailable(False))
    return simulation


def test_serves_up_to_capacity_under_twice_the_load():
    _, product = simulate(2.0)
    _, polled = simulate(2.0, PollingSimulation)
    assert product.goodput >= 0.9
    assert polled.goodput < 0.5
    assert product.refused_at_once_share >= 0.95
    assert product.refused_while_half_free == 0
    assert product.refused_while_shown_free == 0
    assert product.run_twice == 0


def test_refuses_calls_without_delay():
    _, product = simulate(2.0)
    assert product.refused_at_once_share == 1.0


def test_overload_delays_the_top_rank_only_slightly():
    _, light_load = simulate(0.7)
    _, overload = simulate(2.0)
    assert overload.first_rank_p99_seconds <= 1.3 * light_load.first_rank_p99_seconds


def test_shares_one_rank_fairly_between_large_tenants():
    _, product = simulate(2.0, rank_weights=(0.0, 1.0, 0.0))
    assert product.jain > 0.95


def test_shares_each_rank_fairly_between_large_tenants():
    simulation = AdmissionSimulation(2.0, 5, 10.0, SMALL)
    simulation.has_reward_bursts = False
    simulation.run()
    assert summarize(simulation, WARM_SECONDS).jain > 0.95


def test_refuses_no_call_while_slots_are_free_after_an_overload():
    simulation = AdmissionSimulation(3.0, 5, SECONDS, SMALL)
    simulation.has_reward_bursts = False
    simulation.schedule(SECONDS / 2, lambda: setattr(simulation, "load", 0.3))
    simulation.run()
    assert simulation.results.refused_after_seconds
    assert simulation.results.refused_while_half_free == 0


class RecoverySimulation(AdmissionSimulation):
    """Counts only refusals that an answer sent after the targets' recovery could have prevented."""

    def _refuse(self, daemon, call, decision, on_refused):
        previous_count = self.results.refused_while_half_free
        super()._refuse(daemon, call, decision, on_refused)
        if self.now_seconds <= 3.0 + NETWORK_SECONDS:
            self.results.refused_while_half_free = previous_count


@pytest.mark.parametrize("seed", [5, 1, 4, 9, 20, 35, 40])
def test_refuses_no_call_while_slots_are_free_as_targets_recover(seed):
    # Guards against refusals that outlast an outage. No daemon knows of the recovery before the
    # first answer that a target has sent after it.
    simulation = with_outage(0.9, RecoverySimulation, seed)
    simulation.run()
    assert simulation.results.refused_after_seconds
    assert simulation.results.refused_while_half_free == 0


@pytest.mark.parametrize("seed", [5, 31, 32, 33])
def test_refuses_no_call_while_slots_are_free_once_targets_recovered(seed):
    # Guards against refusing calls because of reports from before the targets recovered.
    simulation = with_outage(0.9, RecoverySimulation, seed)
    simulation.run()
    assert simulation.results.refused_after_seconds
    assert simulation.results.refused_while_half_free == 0


def test_serves_the_top_rank_under_overload():
    _, product = simulate(2.0)
    assert product.served[0] >= 0.9
    assert product.served[0] > product.served[1] >= product.served[2] - 0.05


def test_does_not_starve_the_lowest_rank_under_an_urgent_burst():
    _, product = simulate(2.0, rank_weights=(0.8, 0.0, 0.2))
    assert product.served[2] > 0


def test_refuses_no_call_at_half_load():
    simulation, product = simulate(0.5)
    assert min(product.served.values()) == 1.0
    assert len(simulation.results.refused_after_seconds) <= 0.001 * len(simulation.results.served)


def test_a_tenant_with_twenty_times_its_share_does_not_displace_others():
    weights = [1.0] * SMALL.tenants
    weights[0] = 20.0
    simulation, _ = simulate(1.5, rank_weights=(0.0, 1.0, 0.0), tenant_weights=weights)
    failed = [
        call.tenant
        for call in simulation.results.failed
        if call.first_arrival_seconds > WARM_SECONDS
    ]
    served = [
        call.tenant
        for call, _ in simulation.results.served
        if call.first_arrival_seconds > WARM_SECONDS
    ]
    other_failed = sum(tenant != "t0" for tenant in failed)
    other_served = sum(tenant != "t0" for tenant in served)
    large_failed = failed.count("t0")
    large_served = served.count("t0")
    assert large_failed / (large_failed + large_served) > 2 * other_failed / (
        other_failed + other_served
    )


def test_one_slow_target_of_four_keeps_most_of_the_goodput():
    simulation = AdmissionSimulation(1.2, 5, SECONDS, SMALL)
    simulation.has_reward_bursts = False
    simulation.schedule(1.0, lambda: setattr(simulation.targets[0], "pace", 6.0))
    simulation.run()
    result = summarize(simulation, WARM_SECONDS)
    assert result.served[0] >= 0.9
    assert result.goodput >= 0.5
    assert result.run_twice == 0


def test_does_not_overload_targets_that_recover_at_once():
    simulation = with_outage(load=0.9)
    max_queue_length = [0]

    def check_queues() -> None:
        max_queue_length[0] = max(
            max_queue_length[0], *(len(target.queue) for target in simulation.targets)
        )
        if simulation.now_seconds < 3.5:
            simulation.schedule(simulation.now_seconds + 0.005, check_queues)

    simulation.schedule(3.0, check_queues)
    simulation.run()
    served = [
        (call, served_at_seconds)
        for call, served_at_seconds in simulation.results.served
        if call.first_arrival_seconds > 4.0
    ]
    failed = [call for call in simulation.results.failed if call.first_arrival_seconds > 4.0]
    assert max_queue_length[0] < SMALL.queue
    assert len(served) / (len(served) + len(failed)) >= 0.9


@pytest.mark.parametrize("seed", [1, 2])
def test_a_single_active_daemon_uses_the_complete_capacity(seed):
    simulation = AdmissionSimulation(0.6, seed, 4.0, Sizes(daemons=1, tenants=8))
    simulation.has_reward_bursts = False
    simulation.run()
    result = summarize(simulation, 1.0)
    assert min(result.served.values()) >= 0.99
