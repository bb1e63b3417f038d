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
from rackswitch.jobs.schedule import INITIAL_PIECES_PER_TOKEN
from rackswitch.jobs.tests.support import make_item, make_job
from rackswitch.leases import rank_candidates


def make_engine(
    name: str, free_slots: int, seconds_per_piece: float = 0.05, version: int = 1
) -> EngineCapacity:
    return EngineCapacity(name, "s", free_slots, seconds_per_piece, {"m": version})


def plan(
    ledgers: list[JobLedger], engines: list[EngineCapacity], due: dict[str, float] | None = None
):
    services = {ledger.job.job_id: "s" for ledger in ledgers}
    deadlines = due or {ledger.job.job_id: 0.0 for ledger in ledgers}
    starts = plan_starts(ledgers, engines, services, deadlines, 0.0)
    return [(start.progress.item.item_id, start.instance) for start in starts]


def ledger_of(lengths: list[float], job_id: str = "j", oldest_version: int = 0) -> JobLedger:
    items = tuple(make_item(n, expected_tokens=length) for n, length in enumerate(lengths))
    job = msgspec.structs.replace(
        make_job(), items=items, job_id=job_id, oldest_version=oldest_version
    )
    return JobLedger(job)


def test_longest_items_start_first_at_the_fastest_engine():
    starts = plan(
        [ledger_of([10, 900, 50])], [make_engine("slow", 5, 0.09), make_engine("fast", 1)]
    )
    assert starts == [("i1", "fast"), ("i2", "slow"), ("i0", "slow")]


def test_long_texts_are_spread_over_engines_of_equal_pace():
    starts = plan(
        [ledger_of([900] * 6)],
        [make_engine("a", 12), make_engine("b", 12), make_engine("slow", 12, 0.065)],
    )
    assert sorted(instance for _, instance in starts) == ["a", "a", "a", "b", "b", "b"]


def test_nearly_full_fast_engine_is_preferred_to_a_slow_one():
    starts = plan(
        [ledger_of([900])],
        [make_engine("slow", 12, 0.065), EngineCapacity("fast", "s", 1, 0.05, {"m": 1}, runs=11)],
    )
    assert starts == [("i0", "fast")]


def test_full_engine_gets_a_text_only_if_waiting_there_is_faster():
    full = EngineCapacity("full", "s", 12, 0.04, {"m": 1}, slots=12, runs=18)
    slower = EngineCapacity("slower", "s", 12, 0.05, {"m": 1}, slots=12)
    lengths = [20 / INITIAL_PIECES_PER_TOKEN, 200 / INITIAL_PIECES_PER_TOKEN]
    assert plan([ledger_of(lengths)], [full, slower]) == [("i1", "full"), ("i0", "slower")]


def test_no_engine_gets_more_items_than_it_has_free_slots():
    starts = plan([ledger_of([1] * 10)], [make_engine("a", 2), make_engine("b", 3)])
    assert len(starts) == 5


def test_items_wait_for_an_engine_with_new_enough_weights():
    engines = [make_engine("old", 9, version=1)]
    assert plan([ledger_of([1], oldest_version=2)], engines) == []
    engines.append(make_engine("new", 9, version=2))
    assert plan([ledger_of([1], oldest_version=2)], engines) == [("i0", "new")]


def test_job_that_is_due_first_starts_first():
    ledgers = [ledger_of([1], "late"), ledger_of([1], "early")]
    starts = plan(ledgers, [make_engine("a", 1)], {"late": 9.0, "early": 5.0})
    assert len(starts) == 1
    ledgers[1].record_start(ledgers[1].items["i0"])
    assert len(plan(ledgers, [make_engine("a", 1)], {"late": 9.0, "early": 5.0})) == 1


def test_interrupted_item_starts_first_and_at_another_engine():
    ledger = ledger_of([10, 900])
    interrupted = ledger.items["i0"]
    ledger.record_start(interrupted)
    ledger.record_interruption(interrupted, "a", -1.0)
    assert plan([ledger], [make_engine("a", 1, 0.01), make_engine("b", 1)]) == [
        ("i0", "b"),
        ("i1", "a"),
    ]


def test_former_owner_may_claim_first_then_daemons_by_rank():
    live_daemons = ["a", "b", "c"]
    first, second, _ = rank_candidates("j", live_daemons)

    def claims(daemon: str, held: bool, at_seconds: float, released: bool = False) -> bool:
        orphaned_jobs = OrphanedJobs(daemon)
        orphaned_jobs.record_orphaned("j", 0.0)
        return orphaned_jobs.try_claim("j", live_daemons, held, released, at_seconds)

    assert claims(second, True, 0.0)
    assert not claims(first, False, 0.3)
    assert claims(first, False, 0.4)
    assert not claims(second, False, 0.7)
    assert claims(second, False, 0.8)
    # A released job is claimed without the delay reserved for its former owner.
    assert claims(first, False, 0.0, released=True)
    assert not claims(second, False, 0.3, released=True)
    assert claims(second, False, 0.4, released=True)


def test_job_with_an_owner_is_not_claimed():
    orphaned_jobs = OrphanedJobs("a")
    assert not orphaned_jobs.try_claim("j", ["a"], False, False, 100.0)
    orphaned_jobs.record_orphaned("j", 0.0)
    orphaned_jobs.record_owned("j")
    assert not orphaned_jobs.try_claim("j", ["a"], False, False, 100.0)


def test_long_text_of_a_later_job_starts_before_a_short_one_of_an_earlier_job():
    ledgers = [ledger_of([10], "early"), ledger_of([9000, 10], "late")]
    starts = plan(ledgers, [make_engine("a", 3)], {"early": 7.5, "late": 9.0})
    assert [item for item, _ in starts] == ["i0", "i0", "i1"]
    assert plan(ledgers, [make_engine("a", 1)], {"early": 7.5, "late": 9.0}) == [("i0", "a")]
    started = plan_starts(
        ledgers,
        [make_engine("a", 1)],
        {"early": "s", "late": "s"},
        {"early": 7.5, "late": 9.0},
        0.0,
    )
    assert started[0].ledger.job.job_id == "late"


def test_job_without_capacity_does_not_delay_another_service():
    ledgers = [ledger_of([10, 10], "j1"), ledger_of([10], "j2")]
    engines = [make_engine("a", 1), EngineCapacity("b", "t", 1, 0.05, {"m": 1})]
    starts = plan_starts(ledgers, engines, {"j1": "s", "j2": "t"}, {"j1": 1.0, "j2": 9.0}, 0.0)
    assert {start.instance for start in starts} == {"a", "b"}


def test_forecast_learns_the_ratio_of_actual_to_expected_length():
    forecast = LengthForecast()
    item = ledger_of([100]).items["i0"]
    assert forecast.remaining_pieces(item) == pytest.approx(2.0)
    for _ in range(200):
        forecast.record_length(100.0, 50)
    assert forecast.remaining_pieces(item) == pytest.approx(50.0, rel=0.05)
    forecast.record_length(0.0, 50)
    forecast.record_length(100.0, 0)
    assert forecast.remaining_pieces(item) == pytest.approx(50.0, rel=0.05)


def test_text_that_exceeds_its_forecast_is_expected_to_grow_further():
    forecast = LengthForecast()
    item = ledger_of([100]).items["i0"]
    item.pieces = ["x"] * 60
    assert forecast.remaining_pieces(item) == pytest.approx(30.0)


def test_next_claim_is_delayed_until_the_job_has_had_an_owner():
    orphaned_jobs = OrphanedJobs("a")
    orphaned_jobs.record_orphaned("j", 0.0)
    assert orphaned_jobs.try_claim("j", ["a"], True, False, 1.0)
    assert not orphaned_jobs.try_claim("j", ["a"], True, False, 1.1)
    orphaned_jobs.record_owned("j")
    orphaned_jobs.record_orphaned("j", 1.2)
    assert orphaned_jobs.try_claim("j", ["a"], True, False, 1.2)


def test_spare_capacity_of_a_service_is_its_fastest_engine_with_a_free_slot():
    engines = [
        make_engine("full", 0, 0.01),
        make_engine("slow", 3, 0.09, 4),
        make_engine("fast", 2, 0.03, 5),
        make_engine("slower", 1, 0.2),
        EngineCapacity("b", "t", 1, 0.05, {"m": 1}),
    ]
    spare = spare_capacities(engines)
    assert spare["s"] == SpareCapacity("fast", 0.03, 2, {"m": 5})
    assert spare["t"].instance == "b"
    assert spare_capacities([make_engine("full", 0)]) == {}
