"""Which runs move to other engines before their engine leaves."""

import random

from rackswitch.jobs import EngineCapacity, LeavingEngines, LeavingRun, runs_to_move
from rackswitch.jobs.leaving import ENGINE_END_MARGIN_SECONDS


def leaving_run(name: str, remaining_pieces: float, **overrides) -> LeavingRun:
    defaults = {
        "key": ("j", name),
        "start": "e@1",
        "service": "s",
        "model": "m",
        "oldest_version": 1,
        "remaining_pieces": remaining_pieces,
        "seconds_per_piece": 0.04,
        "start_by_seconds": 0.0,
    }
    return LeavingRun(**(defaults | overrides))


def free_engine(
    name: str = "f", free_slots: int = 6, version: int = 1, seconds_per_piece: float = 0.04, runs=0
):
    return EngineCapacity(name, "s", free_slots, seconds_per_piece, {"m": version}, 6, runs)


def moved(runs, engines, until_seconds: float = 3.0, now_seconds: float = 0.0) -> list[str]:
    moves = runs_to_move(runs, {"e@1": until_seconds}, engines, now_seconds)
    return [run.key[1] for run, _ in moves]


def test_only_runs_that_do_not_complete_in_time_move():
    runs = [leaving_run("short", 20), leaving_run("long", 120)]
    assert moved(runs, [free_engine()]) == ["long"]


def test_run_that_completes_within_the_margin_moves():
    margin_pieces = ENGINE_END_MARGIN_SECONDS / 0.04
    assert moved([leaving_run("a", 75 - margin_pieces - 1)], [free_engine()]) == []
    assert moved([leaving_run("a", 75 - margin_pieces + 1)], [free_engine()]) == ["a"]


def test_most_urgent_runs_move_first_and_only_to_free_slots():
    runs = [
        leaving_run("late", 120, start_by_seconds=5.0),
        leaving_run("surplus", 120, start_by_seconds=1.0, is_surplus=True),
        leaving_run("urgent", 120, start_by_seconds=2.0),
    ]
    assert moved(runs, [free_engine(free_slots=2)]) == ["urgent", "late"]
    assert moved(runs, [free_engine(free_slots=0)]) == []
    # A run does not move into a queue, since it still produces pieces where it is.
    assert moved(runs, [free_engine(free_slots=1, runs=6)]) == []


def test_run_moves_only_to_an_engine_with_its_weights_and_enough_memory():
    runs = [leaving_run("a", 120, oldest_version=2, tokens=500.0)]
    assert moved(runs, [free_engine(version=1)]) == []
    tight = free_engine(version=2, runs=1)
    tight.free_tokens = 499.0
    assert moved(runs, [tight]) == []
    assert moved(runs, [tight, free_engine("g", version=2)]) == ["a"]
    other = EngineCapacity("t", "t", 6, 0.04, {"m": 2}, 6)
    assert moved(runs, [other]) == []


def test_without_a_known_end_all_runs_but_the_nearly_complete_move():
    engines = LeavingEngines()
    assert engines.record_notice("e@1", 10.0, None, min_seconds=0.0)
    assert engines.until_seconds == {"e@1": 10.0}
    runs = [leaving_run("nearly whole", 2), leaving_run("half", 10)]
    assert moved(runs, [free_engine()], engines.until_seconds["e@1"], 10.0) == ["half"]


def test_time_left_counts_from_the_first_notice():
    engines = LeavingEngines()
    assert engines.record_notice("e@1", 10.0, None, min_seconds=3.0)
    assert not engines.record_notice("e@1", 11.0, None, min_seconds=3.0)
    assert engines.until_seconds["e@1"] == 13.0
    # The engine's own notice replaces the minimum, and may only shorten the time.
    assert not engines.record_notice("e@1", 11.0, 1.5, min_seconds=3.0)
    assert engines.until_seconds["e@1"] == 12.5
    assert not engines.record_notice("e@1", 12.0, 1.5, min_seconds=3.0)
    assert engines.until_seconds["e@1"] == 12.5
    engines.keep_only([])
    assert engines.until_seconds == {}


def test_all_runs_of_leaving_engines_move_as_slots_become_free():
    """6 of 18 engines leave 2.5 s after the notice; slots become free as runs end."""
    rng = random.Random(3)
    for _ in range(50):
        until_seconds = {f"e{n}@1": 2.5 for n in range(6)}
        runs = {
            (start, slot): leaving_run(
                f"{start}-{slot}",
                rng.choice([10, 20, 30, 150]),
                start=start,
                start_by_seconds=rng.uniform(0, 4),
            )
            for start in until_seconds
            for slot in range(6)
        }
        must_move = {run.key for run in runs.values() if run.remaining_pieces * 0.04 > 2.5 - 0.2}
        engines = [free_engine(f"f{n}", free_slots=0, runs=6) for n in range(12)]
        moved_runs: list[LeavingRun] = []
        now_seconds = 0.0
        while now_seconds < 2.5:
            remaining_runs = [
                LeavingRun(
                    **{
                        name: getattr(run, name)
                        for name in LeavingRun.__dataclass_fields__
                        if name != "remaining_pieces"
                    },
                    remaining_pieces=run.remaining_pieces - now_seconds / 0.04,
                )
                for run in runs.values()
                if run.key not in {moved_run.key for moved_run in moved_runs}
            ]
            free_before = sum(engine.free_slots for engine in engines)
            moves = runs_to_move(remaining_runs, until_seconds, engines, now_seconds)
            assert len(moves) <= free_before
            waiting = [
                run for run in remaining_runs if run.key in must_move and run not in dict(moves)
            ]
            if waiting and moves:
                latest_moved_seconds = max(run.start_by_seconds for run, _ in moves)
                assert latest_moved_seconds <= min(run.start_by_seconds for run in waiting)
            moved_runs += [run for run, _ in moves]
            assert all(engine.free_slots >= 0 and engine.runs <= 6 for engine in engines)
            for engine in engines:
                if rng.random() < 0.15:
                    engine.runs = min(engine.runs, 5)
                    engine.free_slots = 1
            now_seconds += 0.05
        assert {run.key for run in moved_runs} == must_move


def test_runs_do_not_move_to_an_engine_that_is_loading_weights():
    """An engine that is loading reports no version of that model."""
    runs = [leaving_run("a", 120, oldest_version=3)]
    loading = EngineCapacity("loading", "s", 6, 0.03, {}, 6)
    older = free_engine("older", version=2)
    assert moved(runs, [loading, older]) == []
    loaded = free_engine("loaded", version=3, seconds_per_piece=0.08)
    moves = runs_to_move(runs, {"e@1": 1.0}, [loading, older, loaded], 0.0)
    assert [instance for _, instance in moves] == ["loaded"]
