import msgspec
import pytest

from rackswitch.jobs import (
    EngineCapacity,
    JobLedger,
    LengthForecast,
    OrphanedJobs,
    SpareCapacity,
    plan_starts,
    spare_capacities,
)
from rackswitch.jobs.schedule import FIRST_PIECES_PER_TOKEN
from rackswitch.jobs.tests.support import make_item, make_job
from rackswitch.leases import rank_candidates


def room(name: str, free: int, pace: float = 0.05, version: int = 1) -> EngineCapacity:
    return EngineCapacity(name, "s", free, pace, {"m": version})


def plan(
    ledgers: list[JobLedger], rooms: list[EngineCapacity], due: dict[str, float] | None = None
):
    services = {ledger.job.job_id: "s" for ledger in ledgers}
    deadlines = due or {ledger.job.job_id: 0.0 for ledger in ledgers}
    starts = plan_starts(ledgers, rooms, services, deadlines, 0.0)
    return [(start.progress.item.item_id, start.instance) for start in starts]


def ledger_of(lengths: list[float], job_id: str = "j", oldest_version: int = 0) -> JobLedger:
    items = tuple(make_item(n, expected_tokens=length) for n, length in enumerate(lengths))
    job = msgspec.structs.replace(
        make_job(), items=items, job_id=job_id, oldest_version=oldest_version
    )
    return JobLedger(job)


def test_the_longest_items_start_first_on_the_fastest_engine():
    starts = plan([ledger_of([10, 900, 50])], [room("slow", 5, 0.09), room("fast", 1)])
    assert starts == [("i1", "fast"), ("i2", "slow"), ("i0", "slow")]


def test_long_texts_are_spread_over_engines_of_one_speed():
    starts = plan([ledger_of([900] * 6)], [room("a", 12), room("b", 12), room("slow", 12, 0.065)])
    assert sorted(instance for _, instance in starts) == ["a", "a", "a", "b", "b", "b"]


def test_a_fast_engine_that_is_well_filled_still_goes_before_a_slow_one():
    starts = plan(
        [ledger_of([900])],
        [room("slow", 12, 0.065), EngineCapacity("fast", "s", 1, 0.05, {"m": 1}, runs=11)],
    )
    assert starts == [("i0", "fast")]


def test_a_full_engine_gets_a_text_only_if_waiting_there_is_faster():
    full = EngineCapacity("full", "s", 12, 0.04, {"m": 1}, slots=12, runs=18)
    slower = EngineCapacity("slower", "s", 12, 0.05, {"m": 1}, slots=12)
    lengths = [20 / FIRST_PIECES_PER_TOKEN, 200 / FIRST_PIECES_PER_TOKEN]
    assert plan([ledger_of(lengths)], [full, slower]) == [("i1", "full"), ("i0", "slower")]


def test_no_engine_gets_more_than_it_has_room_for():
    starts = plan([ledger_of([1] * 10)], [room("a", 2), room("b", 3)])
    assert len(starts) == 5


def test_items_wait_for_an_engine_with_weights_that_may_make_them():
    rooms = [room("old", 9, version=1)]
    assert plan([ledger_of([1], oldest_version=2)], rooms) == []
    rooms.append(room("new", 9, version=2))
    assert plan([ledger_of([1], oldest_version=2)], rooms) == [("i0", "new")]


def test_the_job_that_is_due_first_goes_first():
    ledgers = [ledger_of([1], "late"), ledger_of([1], "early")]
    starts = plan(ledgers, [room("a", 1)], {"late": 9.0, "early": 5.0})
    assert len(starts) == 1
    ledgers[1].started(ledgers[1].items["i0"])
    assert len(plan(ledgers, [room("a", 1)], {"late": 9.0, "early": 5.0})) == 1


def test_an_item_whose_run_broke_goes_before_the_others_and_elsewhere():
    ledger = ledger_of([10, 900])
    broken = ledger.items["i0"]
    ledger.started(broken)
    ledger.broke(broken, "a", -1.0)
    assert plan([ledger], [room("a", 1, 0.01), room("b", 1)]) == [("i0", "b"), ("i1", "a")]


def test_a_former_owner_may_claim_first_then_the_daemons_in_their_order():
    live = ["a", "b", "c"]
    first, second, _ = rank_candidates("j", live)

    def claims(daemon: str, held: bool, at_seconds: float, released: bool = False) -> bool:
        orphans = OrphanedJobs(daemon)
        orphans.orphaned("j", 0.0)
        return orphans.may_claim("j", live, held, released, at_seconds)

    assert claims(second, True, 0.0)
    assert not claims(first, False, 0.3)
    assert claims(first, False, 0.4)
    assert not claims(second, False, 0.7)
    assert claims(second, False, 0.8)
    # Nobody waits for a former owner that has given the job away.
    assert claims(first, False, 0.0, released=True)
    assert not claims(second, False, 0.3, released=True)
    assert claims(second, False, 0.4, released=True)


def test_a_job_with_an_owner_is_not_claimed():
    orphans = OrphanedJobs("a")
    assert not orphans.may_claim("j", ["a"], False, False, 100.0)
    orphans.orphaned("j", 0.0)
    orphans.owned("j")
    assert not orphans.may_claim("j", ["a"], False, False, 100.0)


def test_a_long_text_of_a_later_job_goes_before_a_short_one_of_an_earlier_job():
    ledgers = [ledger_of([10], "early"), ledger_of([9000, 10], "late")]
    starts = plan(ledgers, [room("a", 3)], {"early": 7.5, "late": 9.0})
    assert [item for item, _ in starts] == ["i0", "i0", "i1"]
    assert plan(ledgers, [room("a", 1)], {"early": 7.5, "late": 9.0}) == [("i0", "a")]
    started = plan_starts(
        ledgers, [room("a", 1)], {"early": "s", "late": "s"}, {"early": 7.5, "late": 9.0}, 0.0
    )
    assert started[0].ledger.job.job_id == "late"


def test_a_job_that_finds_no_room_does_not_hold_up_another_service():
    ledgers = [ledger_of([10, 10], "j1"), ledger_of([10], "j2")]
    rooms = [room("a", 1), EngineCapacity("b", "t", 1, 0.05, {"m": 1})]
    starts = plan_starts(ledgers, rooms, {"j1": "s", "j2": "t"}, {"j1": 1.0, "j2": 9.0}, 0.0)
    assert {start.instance for start in starts} == {"a", "b"}


def test_lengths_are_learnt_against_what_was_expected_of_them():
    forecast = LengthForecast()
    item = ledger_of([100]).items["i0"]
    assert forecast.remaining_pieces(item) == pytest.approx(2.0)
    for _ in range(200):
        forecast.note(100.0, 50)
    assert forecast.remaining_pieces(item) == pytest.approx(50.0, rel=0.05)
    forecast.note(0.0, 50)
    forecast.note(100.0, 0)
    assert forecast.remaining_pieces(item) == pytest.approx(50.0, rel=0.05)


def test_a_text_past_its_forecast_is_taken_to_be_of_the_long_tail():
    forecast = LengthForecast()
    item = ledger_of([100]).items["i0"]
    item.pieces = ["x"] * 60
    assert forecast.remaining_pieces(item) == pytest.approx(30.0)


def test_after_a_claim_the_next_one_waits_and_an_owner_resets_that():
    orphans = OrphanedJobs("a")
    orphans.orphaned("j", 0.0)
    assert orphans.may_claim("j", ["a"], True, False, 1.0)
    assert not orphans.may_claim("j", ["a"], True, False, 1.1)
    orphans.owned("j")
    orphans.orphaned("j", 1.2)
    assert orphans.may_claim("j", ["a"], True, False, 1.2)


def test_the_spare_room_of_a_service_is_its_fastest_engine_with_a_free_slot():
    rooms = [
        room("full", 0, 0.01),
        room("slow", 3, 0.09, 4),
        room("fast", 2, 0.03, 5),
        room("slower", 1, 0.2),
        EngineCapacity("b", "t", 1, 0.05, {"m": 1}),
    ]
    spare = spare_capacities(rooms)
    assert spare["s"] == SpareCapacity("fast", 0.03, 2, {"m": 5})
    assert spare["t"].instance == "b"
    assert spare_capacities([room("full", 0)]) == {}
