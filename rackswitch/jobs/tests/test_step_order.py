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
from rackswitch.jobs.schedule import INITIAL_PIECES_PER_TOKEN
from rackswitch.jobs.tests.support import finish, make_job


def group_ledger(groups: list[list[float]], wanted: int = 0, job_id: str = "j") -> JobLedger:
    """Return a job's ledger, given the expected number of pieces of each item of each group."""
    items = tuple(
        JobItem(
            item_id=f"{job_id}-{number}-{position}",
            path="/",
            headers=(),
            body=b"",
            tokens=1_000_000,
            expected_tokens=pieces / INITIAL_PIECES_PER_TOKEN,
            group=f"g{number}",
        )
        for number, group in enumerate(groups)
        for position, pieces in enumerate(group)
    )
    return JobLedger(
        msgspec.structs.replace(make_job(), items=items, job_id=job_id, wanted_groups=wanted)
    )


def order_of(
    ledgers: list[JobLedger],
    due: dict[str, float],
    ranks: dict[str, int] | None = None,
    seconds_per_piece: float = 0.04,
) -> SlackOrder:
    services = {ledger.job.job_id: "s" for ledger in ledgers}
    return SlackOrder(services, due, ranks or {}, {"s": seconds_per_piece}, LengthForecast())


def ordered(order: SlackOrder, ledgers: list[JobLedger]) -> list[str]:
    waiting = [(ledger, item) for ledger in ledgers for item in ledger.startable_items(0.0)]
    waiting.sort(key=lambda entry: order.key(*entry))
    return [progress.item.item_id for _, progress in waiting]


def test_groups_with_the_most_remaining_work_are_surplus():
    ledger = group_ledger([[10, 10], [10, 90], [20, 20]], wanted=2)
    assert surplus_groups(ledger, LengthForecast()) == {"g1"}


def test_no_group_is_surplus_if_all_are_wanted_or_no_number_is_given():
    assert surplus_groups(group_ledger([[10], [90]], wanted=2), LengthForecast()) == set()
    assert surplus_groups(group_ledger([[10], [90]], wanted=0), LengthForecast()) == set()


def test_groups_carried_over_from_an_earlier_step_are_always_wanted():
    ledger = group_ledger([[90], [10], [20]], wanted=2)
    assert surplus_groups(ledger, LengthForecast()) == {"g2"}


def test_complete_text_without_a_score_has_no_remaining_work():
    ledger = group_ledger([[10], [20], [30]], wanted=2)
    complete = ledger.items["j-2-0"]
    complete.pieces = ["x"] * 100
    complete.phase = ItemPhase.SCORING
    assert surplus_groups(ledger, LengthForecast()) == {"g1"}


def test_group_becomes_surplus_if_its_text_exceeds_the_estimate():
    ledger = group_ledger([[10], [20], [30]], wanted=2)
    assert surplus_groups(ledger, LengthForecast()) == {"g2"}
    exceeding = ledger.items["j-1-0"]
    exceeding.pieces = ["x"] * 100
    assert surplus_groups(ledger, LengthForecast()) == {"g1"}


def test_complete_group_is_not_surplus():
    ledger = group_ledger([[10], [90], [20]], wanted=2)
    finish(ledger, "j-1-0")
    assert surplus_groups(ledger, LengthForecast()) == {"g2"}


def test_surplus_items_start_after_those_of_another_step():
    ledgers = [
        group_ledger([[10], [10], [90]], wanted=2, job_id="early"),
        group_ledger([[10]], job_id="late"),
    ]
    order = order_of(ledgers, {"early": 5.0, "late": 9.0})
    assert ordered(order, ledgers) == ["early-0-0", "early-1-0", "late-0-0", "early-2-0"]


def test_item_with_less_slack_starts_first_over_all_steps():
    ledgers = [group_ledger([[10]], job_id="early"), group_ledger([[180]], job_id="late")]
    order = order_of(ledgers, {"early": 7.5, "late": 9.0})
    assert ordered(order, ledgers) == ["late-0-0", "early-0-0"]


def test_more_urgent_class_starts_first_at_similar_slack():
    ledgers = [group_ledger([[11]], job_id="a"), group_ledger([[10]], job_id="b")]
    order = order_of(ledgers, {"a": 7.55, "b": 7.55}, {"a": 3, "b": 1})
    assert ordered(order, ledgers) == ["b-0-0", "a-0-0"]
    # An item that would be late still starts first.
    order = order_of(ledgers, {"a": 7.5, "b": 9.0}, {"a": 3, "b": 1})
    assert ordered(order, ledgers) == ["a-0-0", "b-0-0"]


def test_long_text_starts_earlier_at_slower_engines():
    ledgers = [group_ledger([[10]], job_id="early"), group_ledger([[50]], job_id="late")]
    due = {"early": 7.0, "late": 9.0}
    assert ordered(order_of(ledgers, due), ledgers) == ["early-0-0", "late-0-0"]
    assert ordered(order_of(ledgers, due, None, 0.08), ledgers) == ["late-0-0", "early-0-0"]


def test_available_pace_is_that_of_the_best_engine_of_a_service():
    engines = [
        EngineCapacity("a", "s", 1, 0.08, {"m": 1}),
        EngineCapacity("b", "s", 1, 0.04, {"m": 1}),
        EngineCapacity("c", "t", 1, 0.06, {"m": 1}),
    ]
    assert available_paces(engines) == {"s": 0.04, "t": 0.06}


def test_no_item_waits_while_an_engine_has_a_free_slot():
    """As many items start as there are items or slots, including surplus ones."""
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
        ranks = {job_id: rng.randint(0, 4) for job_id in due}
        engines = [
            EngineCapacity(f"e{n}", "s", rng.randint(0, 6), rng.uniform(0.03, 0.09), {"m": 1}, 6)
            for n in range(rng.randint(1, 6))
        ]
        free_slots = sum(engine.free_slots for engine in engines)
        items = sum(ledger.total for ledger in ledgers)
        order = order_of(ledgers, due, ranks)
        services = dict.fromkeys(due, "s")
        starts = plan_starts(ledgers, engines, services, due, 0.0, order=order)
        assert len(starts) == min(free_slots, items)
        assert all(engine.free_slots >= 0 for engine in engines)
        assert len({id(start.progress) for start in starts}) == len(starts)


def test_surplus_items_do_not_starve_while_new_steps_arrive():
    """One slot and a stream of new steps: the surplus item of the first step starts in time."""
    rng = random.Random(7)
    first = group_ledger([[10], [10], [50]], wanted=2, job_id="first")
    ledgers = [first]
    rounds = 0
    while first.items["first-2-0"].phase is ItemPhase.WAITING:
        rounds += 1
        assert rounds < 20
        if rounds % 2 == 0 and rounds < 10:
            ledgers.append(group_ledger([[rng.uniform(5, 20)]], job_id=f"r{rounds}"))
        due = {ledger.job.job_id: 7.5 + index for index, ledger in enumerate(ledgers)}
        engine = EngineCapacity("a", "s", 1, 0.04, {"m": 1}, 6)
        order = order_of(ledgers, due)
        services = dict.fromkeys(due, "s")
        for start in plan_starts(ledgers, [engine], services, due, 0.0, order=order):
            start.ledger.record_start(start.progress)
            if start.progress is not first.items["first-2-0"]:
                start.progress.accept(TextPiece(1, "a", 1), 0)
                start.ledger.record_complete_text(start.progress)


def test_default_order_ignores_surplus_groups():
    ledgers = [
        group_ledger([[10], [10], [90]], wanted=2, job_id="early"),
        group_ledger([[10]], job_id="late"),
    ]
    engine = EngineCapacity("a", "s", 4, 0.04, {"m": 1})
    services, due = {"early": "s", "late": "s"}, {"early": 5.0, "late": 9.0}
    starts = plan_starts(ledgers, [engine], services, due, 0.0)
    items = [start.progress.item.item_id for start in starts]
    assert items == ["early-2-0", "early-0-0", "early-1-0", "late-0-0"]
