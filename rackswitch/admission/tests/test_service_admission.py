"""One daemon's admission decisions about one service."""

import random

import pytest

from rackswitch.admission import (
    REWARD_RANK,
    AdmissionRequest,
    RefusalCause,
    RefuseCall,
    SendCall,
    ServiceAdmission,
    WaitInQueue,
)
from rackswitch.admission.service_admission import TOP_RANK_EXTRA_CALLS
from rackswitch.admission.shares import TenantShares, fair_rate
from rackswitch.routing import TargetEstimate

SLOTS = 6


def make_request(
    name="r", rank=0, tenant="a", now_seconds=0.0, latency_target_seconds=0.2, kind="k"
) -> AdmissionRequest:
    deadline_seconds = now_seconds + 4 * latency_target_seconds
    return AdmissionRequest(
        name,
        kind,
        tenant,
        rank,
        10,
        now_seconds,
        now_seconds + latency_target_seconds,
        deadline_seconds,
    )


def make_estimate(running: float, waiting: float = 0.0, age_seconds: float = 0.0) -> TargetEstimate:
    return TargetEstimate("t", SLOTS, running, waiting, 1.0, 0.03, age_seconds, 0.001)


FULL = [make_estimate(SLOTS, 10.0)]
FREE = [make_estimate(0)]


def saturated_admission(now_seconds: float = 0.0) -> ServiceAdmission:
    """Return the admission of a daemon that has reached its limit at the service."""
    admission = ServiceAdmission()
    admission.work_seconds["k"] = 0.04
    request = make_request("x", 0, "x", now_seconds)
    while isinstance(decision := admission.decide(request, FULL, 0.5, now_seconds), SendCall):
        pass
    admission.remove_waiting(decision.ticket)
    return admission


def test_sends_a_call_at_once_below_the_limit():
    admission = ServiceAdmission()
    assert isinstance(admission.decide(make_request(), FULL, 0.5, 0.0), SendCall)
    assert admission.limit.in_flight == 1


def test_sends_a_waiting_call_when_another_ends():
    admission = saturated_admission()
    decision = admission.decide(make_request("waits"), FULL, 0.5, 0.0)
    assert isinstance(decision, WaitInQueue)
    assert admission.pop_due(FULL, 0.01) == []
    admission.record_end(make_request("x"), 0.04)
    admission.record_end(make_request("x"), 0.04)
    assert admission.pop_due(FULL, 0.02)[0] == (decision.ticket, SendCall())


def test_refuses_at_once_a_call_that_would_wait_too_long():
    admission = saturated_admission()
    decision = admission.decide(make_request(latency_target_seconds=0.05), FULL, 0.5, 0.0)
    assert isinstance(decision, RefuseCall)
    assert decision.cause is RefusalCause.WAIT_TOO_LONG
    assert decision.wait_seconds > 0


def test_refuses_nothing_while_a_target_is_half_free():
    admission = saturated_admission()
    assert isinstance(
        admission.decide(make_request(latency_target_seconds=0.05), FREE, 0.5, 0.0), SendCall
    )
    ticket = admission.decide(make_request(), FULL, 0.5, 0.0).ticket
    assert admission.pop_due(FREE, 0.19)[0] == (ticket, SendCall())


def test_ignores_outdated_reports_of_free_slots():
    admission = saturated_admission()
    outdated = [make_estimate(0, age_seconds=1.0)]
    assert isinstance(
        admission.decide(make_request(latency_target_seconds=0.05), outdated, 0.5, 0.0), RefuseCall
    )


def test_refuses_a_waiting_call_that_would_miss_its_latency_target():
    admission = saturated_admission()
    ticket = admission.decide(make_request(), FULL, 0.5, 0.0).ticket
    expiry_seconds = admission.next_check_at_seconds(0.0)
    assert expiry_seconds == pytest.approx(0.2 - 0.04)
    [(refused_ticket, decision)] = admission.pop_due(FULL, expiry_seconds)
    assert refused_ticket == ticket
    assert decision.cause is RefusalCause.OUT_OF_TIME
    assert admission.next_check_at_seconds(0.2) == float("inf")


def test_a_call_that_a_target_did_not_begin_waits_until_its_deadline():
    admission = saturated_admission()
    request = make_request()
    assert isinstance(admission.decide_again(request, 0.05), WaitInQueue)
    decision = admission.decide_again(request, request.deadline_seconds)
    assert decision.cause is RefusalCause.OUT_OF_TIME


def test_a_call_that_a_target_did_not_begin_goes_before_new_calls():
    admission = saturated_admission()
    new_wait = admission.decide(make_request("new", tenant="n"), FULL, 0.5, 0.0)
    retry_wait = admission.decide_again(make_request("again", tenant="a"), 0.01)
    for _ in range(4):
        admission.record_end(make_request("x"), 0.04)
    tickets = [ticket for ticket, _ in admission.pop_due(FULL, 0.02)]
    assert tickets.index(retry_wait.ticket) < tickets.index(new_wait.ticket)


def test_reward_calls_wait_behind_all_callers():
    admission = saturated_admission()
    reward_wait = admission.decide(
        make_request("w", REWARD_RANK, "", latency_target_seconds=2.0), FULL, 0.5, 0.0
    )
    caller_wait = admission.decide(make_request("c", 9), FULL, 0.5, 0.0)
    for _ in range(4):
        admission.record_end(make_request("x"), 0.04)
    tickets = [ticket for ticket, _ in admission.pop_due(FULL, 0.01)]
    assert tickets.index(caller_wait.ticket) < tickets.index(reward_wait.ticket)


def test_a_daemon_that_was_suspended_refuses_expired_calls_and_continues():
    admission = saturated_admission()
    for number in range(5):
        admission.decide(make_request(f"r{number}"), FULL, 0.5, 0.0)
    decisions = admission.pop_due(FULL, 60.0)
    assert decisions
    assert all(isinstance(decision, RefuseCall) for _, decision in decisions)
    assert len(admission.queue) == 0
    for _ in range(admission.limit.in_flight):
        admission.record_end(make_request("x"), None)
    assert isinstance(admission.decide(make_request(now_seconds=60.0), FULL, 0.5, 60.0), SendCall)


def test_a_clock_that_steps_back_does_not_delay_waiting_calls():
    admission = saturated_admission(1000.0)
    admission.decide(make_request(now_seconds=1000.0), FULL, 0.5, 1000.0)
    admission.pop_due(FULL, 10.0)
    for _ in range(admission.limit.in_flight):
        admission.record_end(make_request("x"), 0.04)
    assert admission.pop_due(FULL, 10.01)
    assert isinstance(admission.decide(make_request(now_seconds=10.0), FULL, 0.5, 10.0), SendCall)


def test_the_fair_rate_serves_small_demands_completely():
    assert fair_rate([1.0, 2.0, 10.0], 7.0) == 4.0
    assert fair_rate([1.0, 2.0], 7.0) == float("inf")
    assert fair_rate([5.0, 5.0], 4.0) == 2.0


def test_limits_only_tenants_above_the_fair_rate():
    shares = TenantShares()
    rng = random.Random(3)
    now_seconds = 0.0
    for _ in range(2000):
        now_seconds += 0.01
        tenant = "large" if rng.random() < 20 / 24 else f"small{rng.randrange(4)}"
        shares.record_demand(tenant, 0.03, now_seconds)
    assert shares.admitted_share("large", now_seconds) == 1.0
    for _ in range(5):
        now_seconds += 0.1
        shares.record_shortage(now_seconds)
    assert shares.admitted_share("large", now_seconds) < 0.6
    assert shares.admitted_share("small1", now_seconds) == 1.0
    assert shares.admitted_share("newcomer", now_seconds) == 1.0


def test_reports_served_shares_by_tenant():
    admission = ServiceAdmission()
    for tenant in ("a", "a", "a", "b"):
        admission.decide(make_request(tenant=tenant), FULL, 0.5, 0.0)
    assert admission.served_shares(0.0) == pytest.approx({"a": 0.75, "b": 0.25})


def refuse_by_all_targets(admission: ServiceAdmission, now_seconds: float) -> None:
    """Let both targets refuse calls until the admission counts all targets as refusing."""
    for number in range(4):
        now_seconds += 0.1
        request = make_request(f"r{number}", now_seconds=now_seconds)
        assert isinstance(admission.decide(request, FULL * 2, 0.5, now_seconds), SendCall)
        admission.record_end(request, None)
        admission.record_refusal(now_seconds)


def test_while_all_targets_refuse_each_call_is_sent_once_and_then_refused():
    # Guards against refusing calls because of refusals from before targets recovered.
    admission = ServiceAdmission()
    refuse_by_all_targets(admission, 0.0)
    for number in range(20):
        now_seconds = 1.0 + 0.01 * number
        request = make_request(f"c{number}", rank=number % 3, now_seconds=now_seconds)
        assert isinstance(admission.decide(request, FULL * 2, 0.99, now_seconds), SendCall)
        admission.record_end(request, None)
        admission.record_refusal(now_seconds)
        decision = admission.decide_again(request, now_seconds)
        assert isinstance(decision, RefuseCall)
        assert decision.cause is RefusalCause.ALL_TARGETS_REFUSE


def test_refuses_waiting_calls_as_soon_as_all_targets_refuse():
    # Guards against callers that wait until their deadline while no target accepts calls.
    admission = saturated_admission()
    ticket = admission.decide(make_request(), FULL, 0.5, 0.0).ticket
    while admission.limit.in_flight:
        admission.record_end(make_request("x"), None)
        admission.record_refusal(0.01)
    [(refused_ticket, decision)] = admission.pop_due(FULL, 0.01)
    assert refused_ticket == ticket
    assert decision.cause is RefusalCause.ALL_TARGETS_REFUSE


def test_calls_behind_probes_wait_for_their_result():
    # Guards against refusing calls while a recovered target works on the probes.
    admission = ServiceAdmission()
    refuse_by_all_targets(admission, 0.0)
    probes = [make_request(f"t{number}", now_seconds=1.0) for number in range(2)]
    assert all(
        isinstance(admission.decide(request, FULL * 2, 0.99, 1.0), SendCall) for request in probes
    )
    waiting = admission.decide(make_request("behind", 2, now_seconds=1.0), FULL * 2, 0.99, 1.0)
    assert isinstance(waiting, WaitInQueue)
    for request in probes:
        admission.record_end(request, None)
        admission.record_refusal(1.002)
    [(ticket, decision)] = admission.pop_due(FULL * 2, 1.002)
    assert ticket == waiting.ticket
    assert decision.cause is RefusalCause.ALL_TARGETS_REFUSE


def test_sends_calls_without_delay_to_targets_that_accept_again():
    # Guards against a limit that keeps falling with the refusals of an outage.
    admission = ServiceAdmission()
    refuse_by_all_targets(admission, 0.0)
    for number in range(50):
        admission.record_refusal(1.0 + 0.1 * number)
    request = make_request("first", now_seconds=6.0)
    assert isinstance(admission.decide(request, FULL * 2, 0.5, 6.0), SendCall)
    admission.record_end(request, 0.04)
    admission.limit.record_answer(1, 0, SLOTS, 6.04)
    for number in range(10):
        now_seconds = 6.05 + 0.05 * number
        request = make_request(f"n{number}", rank=number % 3, now_seconds=now_seconds)
        assert isinstance(admission.decide(request, FULL * 2, 0.99, now_seconds), SendCall)
        admission.record_end(request, 0.04)


def admission_with_uneven_demand(now_seconds: float) -> ServiceAdmission:
    """Return a saturated admission with one tenant far over its share."""
    admission = ServiceAdmission()
    admission.work_seconds["k"] = 0.04
    shares = admission._shares.setdefault(0, TenantShares())
    for number in range(200):
        at_seconds = now_seconds - 4.0 + 0.02 * number
        shares.record_demand("large" if number % 10 else "small", 0.04, at_seconds)
        admission.limit.record_answer(SLOTS, 2, SLOTS, at_seconds)
    for number in range(20):
        shares.record_shortage(now_seconds - 1.0 + 0.05 * number)
    return admission


def test_refuses_a_call_over_its_share_under_saturation():
    admission = admission_with_uneven_demand(10.0)
    decision = admission.decide(make_request(tenant="large", now_seconds=10.0), [], 0.99, 10.0)
    assert isinstance(decision, RefuseCall)
    assert decision.cause is RefusalCause.OVER_SHARE


def test_refuses_no_call_over_its_share_once_load_reports_are_outdated():
    # Guards against refusing calls because of outdated load reports while slots are free.
    admission = admission_with_uneven_demand(10.0)
    now_seconds = 10.5
    decision = admission.decide(
        make_request(tenant="large", now_seconds=now_seconds), [], 0.99, now_seconds
    )
    assert isinstance(decision, SendCall)


def test_sends_an_expiring_call_unless_all_targets_have_long_queues():
    # Guards against refusing callers after a wait that leaves no time to go elsewhere.
    for queue_length, is_sent in ((SLOTS, True), (2 * SLOTS, False)):
        admission = saturated_admission()
        ticket = admission.decide(make_request(), FULL, 0.5, 0.0).ticket
        expiry_seconds = admission.next_check_at_seconds(0.0)
        [(decisions, decision)] = admission.pop_due(
            [make_estimate(SLOTS, queue_length)], expiry_seconds
        )
        assert decisions == ticket
        assert isinstance(decision, SendCall) is is_sent


@pytest.mark.parametrize("lower_rank", [None, 5])
def test_the_top_rank_exceeds_the_limit_only_while_a_lower_rank_has_demand(lower_rank):
    # Guards against urgent calls that wait while lower ranks use the complete limit.
    admission = saturated_admission()
    if lower_rank is not None:
        admission.decide(make_request("worse", lower_rank), FULL, 0.5, 0.0)
    in_flight = admission.limit.in_flight
    requests = [make_request(f"first{number}") for number in range(20)]
    decisions = [admission.decide(request, FULL, 0.5, 0.0) for request in requests]
    sent_count = sum(isinstance(decision, SendCall) for decision in decisions)
    assert sent_count == admission.limit.in_flight - in_flight
    assert (1 <= sent_count <= TOP_RANK_EXTRA_CALLS) if lower_rank is not None else sent_count == 0


def test_a_new_call_does_not_overtake_waiting_calls_of_higher_ranks():
    # Guards against new calls that overtake waiting ones while no saturation is known.
    admission = ServiceAdmission()
    admission.limit.limit = 0.5
    while isinstance(decision := admission.decide(make_request("first"), [], 0.5, 0.0), SendCall):
        pass
    assert isinstance(decision, WaitInQueue)
    while admission.limit.in_flight:
        admission.record_end(make_request("first"), 0.04)
    new_wait = admission.decide(
        make_request("newcomer", 2, latency_target_seconds=2.0), [], 0.5, 0.0
    )
    assert isinstance(new_wait, WaitInQueue)
    assert admission.pop_due([], 0.0)[0] == (decision.ticket, SendCall())
