"""Whose turn it is among calls of one rank, and among ranks."""

import pytest

from rackswitch.admission import AdmissionRequest
from rackswitch.admission.fair_queue import FairQueue
from rackswitch.admission.patience import PatienceEstimate
from rackswitch.admission.wait_queue import MAX_BYTES, MAX_CALLS, MAX_PASSED, WaitQueue

WORK = {"short": 0.04, "long": 0.16}


def want(
    name="r", tenant="a", rank=0, kind="short", deadline_seconds=10.0, **more
) -> AdmissionRequest:
    return AdmissionRequest(
        name, kind, tenant, rank, 10, 0.0, deadline_seconds, deadline_seconds, **more
    )


def order(queue: FairQueue, wants: dict[int, AdmissionRequest]) -> list[str]:
    names = []
    while (number := queue.take(WORK, 0.05)) is not None:
        names.append(wants[number].request_id)
    return names


def fill(wants: list[AdmissionRequest]) -> tuple[FairQueue, dict[int, AdmissionRequest]]:
    queue = FairQueue()
    return queue, {queue.add(each): each for each in wants}


def test_a_burst_of_one_tenant_delays_another_by_one_call_a_turn():
    burst = [want(f"a{n}", "a") for n in range(20)]
    names = order(*fill([*burst, want("b0", "b"), want("b1", "b")]))
    assert names.index("b0") <= 2
    assert names.index("b1") <= 4


def test_tenants_share_by_work_and_not_by_count():
    short = [want(f"a{n}", "a") for n in range(100)]
    long = [want(f"b{n}", "b", kind="long") for n in range(100)]
    names = order(*fill([*short, *long]))[:100]
    work = {
        tenant: sum(WORK[kind] for name in names if name.startswith(tenant))
        for tenant, kind in (("a", "short"), ("b", "long"))
    }
    assert work["a"] == pytest.approx(work["b"], rel=0.1)


def test_a_tenant_that_was_idle_has_saved_up_no_claim():
    queue, wants = fill([want(f"a{n}", "a") for n in range(50)])
    for _ in range(30):
        queue.take(WORK, 0.05)
    for number in range(10):
        each = want(f"b{number}", "b")
        wants[queue.add(each)] = each
    first = order(queue, wants)[:10]
    assert 4 <= sum(name.startswith("b") for name in first) <= 6


def test_within_a_tenant_returns_go_first_then_those_with_least_time():
    queue, wants = fill(
        [
            want("late", deadline_seconds=9.0),
            want("soon", deadline_seconds=3.0),
            want("back", deadline_seconds=8.0, is_back=True),
        ]
    )
    assert order(queue, wants) == ["back", "soon", "late"]


def test_who_is_back_goes_before_newcomers_of_all_tenants():
    queue, wants = fill([*(want(f"a{n}", "a") for n in range(3)), want("b", "b")])
    back = want("back", "c", is_back=True)
    assert queue.ahead_of(back) == 0
    wants[queue.add(back)] = back
    assert order(queue, wants)[0] == "back"


def test_what_is_ahead_is_what_goes_first():
    queue, wants = fill([want(f"a{n}", "a") for n in range(20)])
    new = want("b0", "b")
    ahead = queue.ahead_of(new)
    wants[queue.add(new)] = new
    assert order(queue, wants).index("b0") in (ahead, ahead + 1)


def test_ranks_go_first_but_pass_a_worse_one_only_so_often():
    room = WaitQueue()
    names = [f"u{n}" for n in range(3 * MAX_PASSED)]
    for name in names:
        room.add(want(name, rank=0))
    room.add(want("low0", rank=5))
    room.add(want("low1", rank=5))
    taken = []
    while (found := room.take(WORK, 0.05)) is not None:
        taken.append(found[1].request_id)
    assert taken.index("low0") == MAX_PASSED
    assert taken.index("low1") == 2 * MAX_PASSED + 1


def test_a_refused_rank_has_its_turn_when_one_of_its_calls_comes():
    room = WaitQueue()
    room.refused(5)
    for _ in range(MAX_PASSED):
        room.went(0)
    room.add(want("urgent", rank=0))
    assert room.ahead_of(want("low", rank=5)) == 0


def test_callers_that_leave_go_out_at_once():
    room = WaitQueue()
    tickets = [room.add(want(f"r{n}")) for n in range(3)]
    assert room.remove(tickets[0]) is not None
    assert room.remove(tickets[0]) is None
    assert len(room) == 2
    assert room.body_bytes == 20
    assert room.take(WORK, 0.05)[1].request_id == "r1"


def test_the_room_is_bounded_in_calls_and_bytes():
    room = WaitQueue()
    assert not room.has_room(AdmissionRequest("r", "k", "t", 0, MAX_BYTES + 1, 0.0, 1.0, 1.0))
    for number in range(MAX_CALLS):
        room.add(want(str(number)))
    assert not room.has_room(want())


def test_a_caller_that_is_back_is_known_by_the_time_it_has_left():
    patience = PatienceEstimate()
    assert not patience.is_back("k", 0.8)
    assert not patience.is_back("k", 0.79)
    assert patience.is_back("k", 0.5)
    for _ in range(300):
        patience.is_back("k", 0.5)
    assert not patience.is_back("k", 0.5)
