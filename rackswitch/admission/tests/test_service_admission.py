"""One daemon's decisions about one service."""

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
from rackswitch.admission.service_admission import FIRST_RANK_AHEAD_CALLS
from rackswitch.admission.shares import TenantShares, fair_rate
from rackswitch.routing import TargetEstimate

SLOTS = 6


def want(
    name="r", rank=0, tenant="a", now_seconds=0.0, aim_seconds=0.2, kind="k"
) -> AdmissionRequest:
    deadline_seconds = now_seconds + 4 * aim_seconds
    return AdmissionRequest(
        name, kind, tenant, rank, 10, now_seconds, now_seconds + aim_seconds, deadline_seconds
    )


def place(running: float, waiting: float = 0.0, age_seconds: float = 0.0) -> TargetEstimate:
    return TargetEstimate("t", SLOTS, running, waiting, 1.0, 0.03, age_seconds, 0.001)


FULL = [place(SLOTS, 10.0)]
FREE = [place(0)]


def full_room(now_seconds: float = 0.0) -> ServiceAdmission:
    """Return a room whose daemon has all the calls at the service that it may have."""
    room = ServiceAdmission()
    room.work_seconds["k"] = 0.04
    call = want("x", 0, "x", now_seconds)
    while isinstance(decision := room.ask(call, FULL, 0.5, now_seconds), SendCall):
        pass
    room.left(decision.ticket)
    return room


def test_a_call_goes_at_once_while_the_limit_allows():
    room = ServiceAdmission()
    assert isinstance(room.ask(want(), FULL, 0.5, 0.0), SendCall)
    assert room.limit.in_flight == 1


def test_a_call_waits_if_it_can_and_goes_as_another_ends():
    room = full_room()
    decision = room.ask(want("waits"), FULL, 0.5, 0.0)
    assert isinstance(decision, WaitInQueue)
    assert room.due(FULL, 0.01) == []
    room.ended(want("x"), 0.04)
    room.ended(want("x"), 0.04)
    assert room.due(FULL, 0.02)[0] == (decision.ticket, SendCall())


def test_a_call_that_cannot_be_answered_in_time_is_refused_at_once():
    room = full_room()
    decision = room.ask(want(aim_seconds=0.05), FULL, 0.5, 0.0)
    assert isinstance(decision, RefuseCall)
    assert decision.cause is RefusalCause.WAIT_TOO_LONG
    assert decision.wait_seconds > 0


def test_nothing_is_refused_while_a_target_is_half_free():
    room = full_room()
    assert isinstance(room.ask(want(aim_seconds=0.05), FREE, 0.5, 0.0), SendCall)
    ticket = room.ask(want(), FULL, 0.5, 0.0).ticket
    assert room.due(FREE, 0.19)[0] == (ticket, SendCall())


def test_an_old_word_of_free_slots_is_none():
    room = full_room()
    old = [place(0, age_seconds=1.0)]
    assert isinstance(room.ask(want(aim_seconds=0.05), old, 0.5, 0.0), RefuseCall)


def test_a_waiting_call_is_refused_as_soon_as_it_is_too_late():
    room = full_room()
    ticket = room.ask(want(), FULL, 0.5, 0.0).ticket
    look_seconds = room.next_look_seconds(0.0)
    assert look_seconds == pytest.approx(0.2 - 0.04)
    [(refused, decision)] = room.due(FULL, look_seconds)
    assert refused == ticket
    assert decision.cause is RefusalCause.OUT_OF_TIME
    assert room.next_look_seconds(0.2) == float("inf")


def test_a_call_that_a_target_did_not_begin_waits_while_it_has_time():
    room = full_room()
    call = want()
    assert isinstance(room.ask_again(call, 0.05), WaitInQueue)
    decision = room.ask_again(call, call.deadline_seconds)
    assert decision.cause is RefusalCause.OUT_OF_TIME


def test_a_call_that_a_target_did_not_begin_goes_before_newcomers():
    room = full_room()
    newcomer = room.ask(want("new", tenant="n"), FULL, 0.5, 0.0)
    again = room.ask_again(want("again", tenant="a"), 0.01)
    for _ in range(4):
        room.ended(want("x"), 0.04)
    tickets = [ticket for ticket, _ in room.due(FULL, 0.02)]
    assert tickets.index(again.ticket) < tickets.index(newcomer.ticket)


def test_reward_calls_wait_behind_all_callers():
    room = full_room()
    reward = room.ask(want("w", REWARD_RANK, "", aim_seconds=2.0), FULL, 0.5, 0.0)
    caller = room.ask(want("c", 9), FULL, 0.5, 0.0)
    for _ in range(4):
        room.ended(want("x"), 0.04)
    tickets = [ticket for ticket, _ in room.due(FULL, 0.01)]
    assert tickets.index(caller.ticket) < tickets.index(reward.ticket)


def test_a_suspended_daemon_refuses_what_is_past_and_goes_on():
    room = full_room()
    for number in range(5):
        room.ask(want(f"r{number}"), FULL, 0.5, 0.0)
    decided = room.due(FULL, 60.0)
    assert decided
    assert all(isinstance(decision, RefuseCall) for _, decision in decided)
    assert len(room.room) == 0
    for _ in range(room.limit.in_flight):
        room.ended(want("x"), None)
    assert isinstance(room.ask(want(now_seconds=60.0), FULL, 0.5, 60.0), SendCall)


def test_a_clock_that_steps_back_holds_nobody_longer_than_its_time():
    room = full_room(1000.0)
    room.ask(want(now_seconds=1000.0), FULL, 0.5, 1000.0)
    room.due(FULL, 10.0)
    for _ in range(room.limit.in_flight):
        room.ended(want("x"), 0.04)
    assert room.due(FULL, 10.01)
    assert isinstance(room.ask(want(now_seconds=10.0), FULL, 0.5, 10.0), SendCall)


def test_fair_rate_fills_small_wants_first():
    assert fair_rate([1.0, 2.0, 10.0], 7.0) == 4.0
    assert fair_rate([1.0, 2.0], 7.0) == float("inf")
    assert fair_rate([5.0, 5.0], 4.0) == 2.0


def test_only_tenants_beyond_the_fair_rate_are_held_back():
    shares = TenantShares()
    rng = random.Random(3)
    now_seconds = 0.0
    for _ in range(2000):
        now_seconds += 0.01
        tenant = "large" if rng.random() < 20 / 24 else f"small{rng.randrange(4)}"
        shares.asked(tenant, 0.03, now_seconds)
    assert shares.pass_share("large", now_seconds) == 1.0
    for _ in range(5):
        now_seconds += 0.1
        shares.found_no_room(now_seconds)
    assert shares.pass_share("large", now_seconds) < 0.6
    assert shares.pass_share("small1", now_seconds) == 1.0
    assert shares.pass_share("newcomer", now_seconds) == 1.0


def test_shares_are_told_by_tenant():
    room = ServiceAdmission()
    for tenant in ("a", "a", "a", "b"):
        room.ask(want(tenant=tenant), FULL, 0.5, 0.0)
    assert room.served_shares(0.0) == pytest.approx({"a": 0.75, "b": 0.25})


def refused_by_all(room: ServiceAdmission, now_seconds: float) -> None:
    """Let both targets refuse all that is sent until the room knows it."""
    for number in range(4):
        now_seconds += 0.1
        call = want(f"r{number}", now_seconds=now_seconds)
        assert isinstance(room.ask(call, FULL * 2, 0.5, now_seconds), SendCall)
        room.ended(call, None)
        room.target_refused(now_seconds)


def test_while_all_targets_refuse_each_call_is_tried_and_then_refused_at_once():
    # Guards against refusing calls by what targets said before they came back.
    room = ServiceAdmission()
    refused_by_all(room, 0.0)
    for number in range(20):
        now_seconds = 1.0 + 0.01 * number
        call = want(f"c{number}", rank=number % 3, now_seconds=now_seconds)
        assert isinstance(room.ask(call, FULL * 2, 0.99, now_seconds), SendCall)
        room.ended(call, None)
        room.target_refused(now_seconds)
        decision = room.ask_again(call, now_seconds)
        assert isinstance(decision, RefuseCall)
        assert decision.cause is RefusalCause.ALL_REFUSE


def test_what_waits_is_refused_as_soon_as_all_targets_refuse():
    # Guards against callers waiting out their time at targets that take nothing.
    room = full_room()
    ticket = room.ask(want(), FULL, 0.5, 0.0).ticket
    while room.limit.in_flight:
        room.ended(want("x"), None)
        room.target_refused(0.01)
    [(refused, decision)] = room.due(FULL, 0.01)
    assert refused == ticket
    assert decision.cause is RefusalCause.ALL_REFUSE


def test_what_becomes_of_calls_on_trial_decides_about_those_behind_them():
    # Guards against refusing calls while a target that is back works on others.
    room = ServiceAdmission()
    refused_by_all(room, 0.0)
    trials = [want(f"t{number}", now_seconds=1.0) for number in range(2)]
    assert all(isinstance(room.ask(call, FULL * 2, 0.99, 1.0), SendCall) for call in trials)
    behind = room.ask(want("behind", 2, now_seconds=1.0), FULL * 2, 0.99, 1.0)
    assert isinstance(behind, WaitInQueue)
    for call in trials:
        room.ended(call, None)
        room.target_refused(1.002)
    [(ticket, decision)] = room.due(FULL * 2, 1.002)
    assert ticket == behind.ticket
    assert decision.cause is RefusalCause.ALL_REFUSE


def test_targets_that_are_back_are_sent_calls_without_a_pause():
    # Guards against a limit that refusals of an outage have lowered without end.
    room = ServiceAdmission()
    refused_by_all(room, 0.0)
    for number in range(50):
        room.target_refused(1.0 + 0.1 * number)
    call = want("first", now_seconds=6.0)
    assert isinstance(room.ask(call, FULL * 2, 0.5, 6.0), SendCall)
    room.ended(call, 0.04)
    room.limit.answered(1, 0, SLOTS, 6.04)
    for number in range(10):
        now_seconds = 6.05 + 0.05 * number
        call = want(f"n{number}", rank=number % 3, now_seconds=now_seconds)
        assert isinstance(room.ask(call, FULL * 2, 0.99, now_seconds), SendCall)
        room.ended(call, 0.04)


def overloaded_room(now_seconds: float) -> ServiceAdmission:
    """Return a room with one tenant far over its share, and a crowd that is told of until then."""
    room = ServiceAdmission()
    room.work_seconds["k"] = 0.04
    shares = room._shares.setdefault(0, TenantShares())
    for number in range(200):
        at_seconds = now_seconds - 4.0 + 0.02 * number
        shares.asked("large" if number % 10 else "small", 0.04, at_seconds)
        room.limit.answered(SLOTS, 2, SLOTS, at_seconds)
    for number in range(20):
        shares.found_no_room(now_seconds - 1.0 + 0.05 * number)
    return room


def test_a_call_over_its_share_is_refused_while_a_crowd_is_known():
    room = overloaded_room(10.0)
    decision = room.ask(want(tenant="large", now_seconds=10.0), [], 0.99, 10.0)
    assert isinstance(decision, RefuseCall)
    assert decision.cause is RefusalCause.OVER_SHARE


def test_no_call_is_refused_by_its_share_after_the_last_word_of_a_crowd_has_aged():
    # Guards against refusing calls while places are free, by words from before.
    room = overloaded_room(10.0)
    now_seconds = 10.5
    decision = room.ask(want(tenant="large", now_seconds=now_seconds), [], 0.99, now_seconds)
    assert isinstance(decision, SendCall)


def test_a_call_that_waited_goes_late_unless_all_queues_are_long():
    # Guards against refusing callers after they have waited, when they could have gone elsewhere.
    for queue, is_sent in ((SLOTS, True), (2 * SLOTS, False)):
        room = full_room()
        ticket = room.ask(want(), FULL, 0.5, 0.0).ticket
        look_seconds = room.next_look_seconds(0.0)
        [(decided, decision)] = room.due([place(SLOTS, queue)], look_seconds)
        assert decided == ticket
        assert isinstance(decision, SendCall) is is_sent


@pytest.mark.parametrize("worse_rank", [None, 5])
def test_the_first_rank_goes_beyond_the_limit_only_while_a_worse_one_makes_room(worse_rank):
    # Guards against urgent calls that wait while the limit is full of others.
    room = full_room()
    if worse_rank is not None:
        room.ask(want("worse", worse_rank), FULL, 0.5, 0.0)
    in_flight = room.limit.in_flight
    calls = [want(f"first{number}") for number in range(20)]
    decisions = [room.ask(call, FULL, 0.5, 0.0) for call in calls]
    sent = sum(isinstance(decision, SendCall) for decision in decisions)
    assert sent == room.limit.in_flight - in_flight
    assert (1 <= sent <= FIRST_RANK_AHEAD_CALLS) if worse_rank is not None else sent == 0


def test_a_call_on_trial_goes_behind_better_ones_that_wait():
    # Guards against newcomers that overtake waiting calls where no crowd is known.
    room = ServiceAdmission()
    room.limit.limit = 0.5
    while isinstance(decision := room.ask(want("first"), [], 0.5, 0.0), SendCall):
        pass
    assert isinstance(decision, WaitInQueue)
    while room.limit.in_flight:
        room.ended(want("first"), 0.04)
    newcomer = room.ask(want("newcomer", 2, aim_seconds=2.0), [], 0.5, 0.0)
    assert isinstance(newcomer, WaitInQueue)
    assert room.due([], 0.0)[0] == (decision.ticket, SendCall())
