"""The order of items over several steps that share engines."""

import random

import msgspec

from rackswitch.jobs import (
    EngineCapacity,
    ItemPhase,
    JobItem,
    JobLedger,
    LengthForecast,
    SlackOrder,
    TextPiece,
    available_paces,
    plan_starts,
    surplus_groups,
)
from rackswitch.jobs.schedule import FIRST_PIECES_PER_TOKEN
from rackswitch.jobs.tests.support import finish, make_job


def group_ledger(groups: list[list[float]], wanted: int = 0, job_id: str = "j") -> JobLedger:
    """Return a job with the pieces that each item of each group is expected to have."""
    items = tuple(
        JobItem(
            item_id=f"{job_id}-{number}-{place}",
            path="/",
            headers=(),
            body=b"",
            tokens=1_000_000,
            expected_tokens=pieces / FIRST_PIECES_PER_TOKEN,
            group=f"g{number}",
        )
        for number, group in enumerate(groups)
        for place, pieces in enumerate(group)
    )
    return JobLedger(
        msgspec.structs.replace(make_job(), items=items, job_id=job_id, wanted_groups=wanted)
    )


def order_of(
    ledgers: list[JobLedger],
    due: dict[str, float],
    classes: dict[str, int] | None = None,
    pace_seconds: float = 0.04,
) -> SlackOrder:
    services = {ledger.job.job_id: "s" for ledger in ledgers}
    return SlackOrder(services, due, classes or {}, {"s": pace_seconds}, LengthForecast())


def ordered(order: SlackOrder, ledgers: list[JobLedger]) -> list[str]:
    waiting = [(ledger, item) for ledger in ledgers for item in ledger.waiting(0.0)]
    waiting.sort(key=lambda entry: order.key(*entry))
    return [progress.item.item_id for _, progress in waiting]


def test_the_groups_that_need_the_most_are_not_waited_for():
    ledger = group_ledger([[10, 10], [10, 90], [20, 20]], wanted=2)
    assert surplus_groups(ledger, LengthForecast()) == {"g1"}


def test_no_group_is_surplus_where_all_are_wanted_or_none_is_told():
    assert surplus_groups(group_ledger([[10], [90]], wanted=2), LengthForecast()) == set()
    assert surplus_groups(group_ledger([[10], [90]], wanted=0), LengthForecast()) == set()


def test_groups_that_an_earlier_step_may_have_left_are_wanted_whatever_they_need():
    ledger = group_ledger([[90], [10], [20]], wanted=2)
    assert surplus_groups(ledger, LengthForecast()) == {"g2"}


def test_a_whole_text_that_waits_for_its_reward_lacks_nothing():
    ledger = group_ledger([[10], [20], [30]], wanted=2)
    whole = ledger.items["j-2-0"]
    whole.pieces = ["x"] * 100
    whole.phase = ItemPhase.SCORING
    assert surplus_groups(ledger, LengthForecast()) == {"g1"}


def test_a_group_that_turns_out_long_changes_places_with_one_that_does_not():
    ledger = group_ledger([[10], [20], [30]], wanted=2)
    assert surplus_groups(ledger, LengthForecast()) == {"g2"}
    grown = ledger.items["j-1-0"]
    grown.pieces = ["x"] * 100
    assert surplus_groups(ledger, LengthForecast()) == {"g1"}


def test_a_whole_group_is_wanted():
    ledger = group_ledger([[10], [90], [20]], wanted=2)
    finish(ledger, "j-1-0")
    assert surplus_groups(ledger, LengthForecast()) == {"g2"}


def test_what_a_trainer_does_not_wait_for_yields_to_another_step():
    ledgers = [
        group_ledger([[10], [10], [90]], wanted=2, job_id="early"),
        group_ledger([[10]], job_id="late"),
    ]
    order = order_of(ledgers, {"early": 5.0, "late": 9.0})
    assert ordered(order, ledgers) == ["early-0-0", "early-1-0", "late-0-0", "early-2-0"]


def test_an_item_with_less_slack_goes_first_over_all_steps():
    ledgers = [group_ledger([[10]], job_id="early"), group_ledger([[180]], job_id="late")]
    order = order_of(ledgers, {"early": 7.5, "late": 9.0})
    assert ordered(order, ledgers) == ["late-0-0", "early-0-0"]


def test_between_items_of_like_slack_the_more_urgent_class_goes_first():
    ledgers = [group_ledger([[11]], job_id="a"), group_ledger([[10]], job_id="b")]
    order = order_of(ledgers, {"a": 7.55, "b": 7.55}, {"a": 3, "b": 1})
    assert ordered(order, ledgers) == ["b-0-0", "a-0-0"]
    # But never before one that would be late.
    order = order_of(ledgers, {"a": 7.5, "b": 9.0}, {"a": 3, "b": 1})
    assert ordered(order, ledgers) == ["a-0-0", "b-0-0"]


def test_the_slower_the_engines_the_more_a_long_text_goes_before():
    ledgers = [group_ledger([[10]], job_id="early"), group_ledger([[50]], job_id="late")]
    due = {"early": 7.0, "late": 9.0}
    assert ordered(order_of(ledgers, due), ledgers) == ["early-0-0", "late-0-0"]
    assert ordered(order_of(ledgers, due, None, 0.08), ledgers) == ["late-0-0", "early-0-0"]


def test_the_pace_to_be_had_is_that_of_the_best_engine_of_a_service():
    rooms = [
        EngineCapacity("a", "s", 1, 0.08, {"m": 1}),
        EngineCapacity("b", "s", 1, 0.04, {"m": 1}),
        EngineCapacity("c", "t", 1, 0.06, {"m": 1}),
    ]
    assert available_paces(rooms) == {"s": 0.04, "t": 0.06}


def test_an_item_is_never_held_back_beside_a_free_engine():
    """Whatever the steps: as many start as there are items or slots, the surplus among them."""
    rng = random.Random(5)
    for _ in range(200):
        ledgers = []
        for number in range(rng.randint(1, 4)):
            groups = [
                [rng.uniform(1, 200) for _ in range(rng.randint(1, 6))]
                for _ in range(rng.randint(1, 5))
            ]
            ledgers.append(group_ledger(groups, rng.randint(0, 5), f"j{number}"))
        due = {ledger.job.job_id: rng.uniform(-5.0, 9.0) for ledger in ledgers}
        classes = {job_id: rng.randint(0, 4) for job_id in due}
        rooms = [
            EngineCapacity(f"e{n}", "s", rng.randint(0, 6), rng.uniform(0.03, 0.09), {"m": 1}, 6)
            for n in range(rng.randint(1, 6))
        ]
        free = sum(room.free_slots for room in rooms)
        items = sum(ledger.total for ledger in ledgers)
        order = order_of(ledgers, due, classes)
        services = dict.fromkeys(due, "s")
        starts = plan_starts(ledgers, rooms, services, due, 0.0, order=order)
        assert len(starts) == min(free, items)
        assert all(room.free_slots >= 0 for room in rooms)
        assert len({id(start.progress) for start in starts}) == len(starts)


def test_no_item_starves_while_steps_go_on_and_on():
    """One slot, a new step each round: the surplus of the first one starts all the same in time.

    Once the wanted ones of all steps are under way, the surplus is what waits.
    """
    rng = random.Random(7)
    first = group_ledger([[10], [10], [50]], wanted=2, job_id="first")
    ledgers = [first]
    rounds = 0
    while first.items["first-2-0"].phase is ItemPhase.WAITING:
        rounds += 1
        assert rounds < 20
        if rounds % 2 == 0 and rounds < 10:
            ledgers.append(group_ledger([[rng.uniform(5, 20)]], job_id=f"r{rounds}"))
        due = {ledger.job.job_id: 7.5 + place for place, ledger in enumerate(ledgers)}
        room = EngineCapacity("a", "s", 1, 0.04, {"m": 1}, 6)
        order = order_of(ledgers, due)
        services = dict.fromkeys(due, "s")
        for start in plan_starts(ledgers, [room], services, due, 0.0, order=order):
            start.ledger.started(start.progress)
            if start.progress is not first.items["first-2-0"]:
                start.progress.accept(TextPiece(1, "a", 1), 0)
                start.ledger.whole(start.progress)


def test_without_the_order_items_start_as_before():
    ledgers = [
        group_ledger([[10], [10], [90]], wanted=2, job_id="early"),
        group_ledger([[10]], job_id="late"),
    ]
    room = EngineCapacity("a", "s", 4, 0.04, {"m": 1})
    services, due = {"early": "s", "late": "s"}, {"early": 5.0, "late": 9.0}
    starts = plan_starts(ledgers, [room], services, due, 0.0)
    items = [start.progress.item.item_id for start in starts]
    assert items == ["early-2-0", "early-0-0", "early-1-0", "late-0-0"]
