"""Order of waiting calls, among tenants of one rank and among ranks."""

import pytest

from rackswitch.admission import AdmissionRequest
from rackswitch.admission.fair_queue import FairQueue
from rackswitch.admission.patience import PatienceEstimate
from rackswitch.admission.wait_queue import MAX_BYTES, MAX_CALLS, MAX_OVERTAKES, WaitQueue

WORK_SECONDS = {"short": 0.04, "long": 0.16}


def make_request(
    name="r", tenant="a", rank=0, kind="short", deadline_seconds=10.0, **fields
) -> AdmissionRequest:
    return AdmissionRequest(
        name, kind, tenant, rank, 10, 0.0, deadline_seconds, deadline_seconds, **fields
    )


def pop_names(queue: FairQueue, requests: dict[int, AdmissionRequest]) -> list[str]:
    names = []
    while (number := queue.pop(WORK_SECONDS, 0.05)) is not None:
        names.append(requests[number].request_id)
    return names


def make_queue(requests: list[AdmissionRequest]) -> tuple[FairQueue, dict[int, AdmissionRequest]]:
    queue = FairQueue()
    return queue, {queue.add(request): request for request in requests}


def test_a_burst_of_one_tenant_delays_another_by_one_call_per_turn():
    burst = [make_request(f"a{n}", "a") for n in range(20)]
    names = pop_names(*make_queue([*burst, make_request("b0", "b"), make_request("b1", "b")]))
    assert names.index("b0") <= 2
    assert names.index("b1") <= 4


def test_tenants_share_by_work_and_not_by_number_of_calls():
    short_requests = [make_request(f"a{n}", "a") for n in range(100)]
    long_requests = [make_request(f"b{n}", "b", kind="long") for n in range(100)]
    names = pop_names(*make_queue([*short_requests, *long_requests]))[:100]
    work_by_tenant = {
        tenant: sum(WORK_SECONDS[kind] for name in names if name.startswith(tenant))
        for tenant, kind in (("a", "short"), ("b", "long"))
    }
    assert work_by_tenant["a"] == pytest.approx(work_by_tenant["b"], rel=0.1)


def test_an_idle_tenant_accumulates_no_deficit():
    queue, requests = make_queue([make_request(f"a{n}", "a") for n in range(50)])
    for _ in range(30):
        queue.pop(WORK_SECONDS, 0.05)
    for number in range(10):
        request = make_request(f"b{number}", "b")
        requests[queue.add(request)] = request
    first_names = pop_names(queue, requests)[:10]
    assert 4 <= sum(name.startswith("b") for name in first_names) <= 6


def test_within_a_tenant_retries_go_first_then_the_earliest_deadline():
    queue, requests = make_queue(
        [
            make_request("late", deadline_seconds=9.0),
            make_request("soon", deadline_seconds=3.0),
            make_request("back", deadline_seconds=8.0, is_retry=True),
        ]
    )
    assert pop_names(queue, requests) == ["back", "soon", "late"]


def test_retries_go_before_first_tries_of_all_tenants():
    queue, requests = make_queue(
        [*(make_request(f"a{n}", "a") for n in range(3)), make_request("b", "b")]
    )
    retry = make_request("back", "c", is_retry=True)
    assert queue.count_ahead_of(retry) == 0
    requests[queue.add(retry)] = retry
    assert pop_names(queue, requests)[0] == "back"


def test_the_count_ahead_matches_the_order_of_pops():
    queue, requests = make_queue([make_request(f"a{n}", "a") for n in range(20)])
    new_request = make_request("b0", "b")
    ahead_count = queue.count_ahead_of(new_request)
    requests[queue.add(new_request)] = new_request
    assert pop_names(queue, requests).index("b0") in (ahead_count, ahead_count + 1)


def test_higher_ranks_overtake_a_lower_one_a_bounded_number_of_times():
    wait_queue = WaitQueue()
    names = [f"u{n}" for n in range(3 * MAX_OVERTAKES)]
    for name in names:
        wait_queue.add(make_request(name, rank=0))
    wait_queue.add(make_request("low0", rank=5))
    wait_queue.add(make_request("low1", rank=5))
    popped_names = []
    while (popped := wait_queue.pop(WORK_SECONDS, 0.05)) is not None:
        popped_names.append(popped[1].request_id)
    assert popped_names.index("low0") == MAX_OVERTAKES
    assert popped_names.index("low1") == 2 * MAX_OVERTAKES + 1


def test_a_rank_with_refused_calls_becomes_overdue():
    wait_queue = WaitQueue()
    wait_queue.record_refusal(5)
    for _ in range(MAX_OVERTAKES):
        wait_queue.record_send(0)
    wait_queue.add(make_request("urgent", rank=0))
    assert wait_queue.count_ahead_of(make_request("low", rank=5)) == 0


def test_removes_calls_of_disconnected_callers_at_once():
    wait_queue = WaitQueue()
    tickets = [wait_queue.add(make_request(f"r{n}")) for n in range(3)]
    assert wait_queue.remove(tickets[0]) is not None
    assert wait_queue.remove(tickets[0]) is None
    assert len(wait_queue) == 2
    assert wait_queue.body_bytes == 20
    assert wait_queue.pop(WORK_SECONDS, 0.05)[1].request_id == "r1"


def test_the_queue_is_bounded_in_calls_and_bytes():
    wait_queue = WaitQueue()
    assert not wait_queue.has_capacity_for(
        AdmissionRequest("r", "k", "t", 0, MAX_BYTES + 1, 0.0, 1.0, 1.0)
    )
    for number in range(MAX_CALLS):
        wait_queue.add(make_request(str(number)))
    assert not wait_queue.has_capacity_for(make_request())


def test_recognizes_a_retry_by_its_remaining_time():
    estimate = PatienceEstimate()
    assert not estimate.record_and_check_retry("k", 0.8)
    assert not estimate.record_and_check_retry("k", 0.79)
    assert estimate.record_and_check_retry("k", 0.5)
    for _ in range(300):
        estimate.record_and_check_retry("k", 0.5)
    assert not estimate.record_and_check_retry("k", 0.5)
