"""Which runs go on elsewhere before their engine leaves."""

import random

from rackswitch.jobs import EngineCapacity, LeavingEngines, LeavingRun, runs_to_move
from rackswitch.jobs.leaving import LAST_PIECE_MARGIN_SECONDS


def leaving_run(name: str, remaining_pieces: float, **given) -> LeavingRun:
    values = {
        "key": ("j", name),
        "start": "e@1",
        "service": "s",
        "model": "m",
        "oldest_version": 1,
        "remaining_pieces": remaining_pieces,
        "seconds_per_piece": 0.04,
        "start_by_seconds": 0.0,
    }
    return LeavingRun(**(values | given))


def free_engine(name: str = "f", free: int = 6, version: int = 1, pace: float = 0.04, runs=0):
    return EngineCapacity(name, "s", free, pace, {"m": version}, 6, runs)


def moved(runs, rooms, until_seconds: float = 3.0, now_seconds: float = 0.0) -> list[str]:
    moves = runs_to_move(runs, {"e@1": until_seconds}, rooms, now_seconds)
    return [run.key[1] for run, _ in moves]


def test_runs_that_end_in_time_stay_and_the_others_go():
    runs = [leaving_run("short", 20), leaving_run("long", 120)]
    assert moved(runs, [free_engine()]) == ["long"]


def test_a_run_that_ends_just_at_its_engines_end_goes():
    margin_pieces = LAST_PIECE_MARGIN_SECONDS / 0.04
    assert moved([leaving_run("a", 75 - margin_pieces - 1)], [free_engine()]) == []
    assert moved([leaving_run("a", 75 - margin_pieces + 1)], [free_engine()]) == ["a"]


def test_the_most_urgent_go_first_and_only_as_fast_as_there_are_free_slots():
    runs = [
        leaving_run("late", 120, start_by_seconds=5.0),
        leaving_run("surplus", 120, start_by_seconds=1.0, is_surplus=True),
        leaving_run("urgent", 120, start_by_seconds=2.0),
    ]
    assert moved(runs, [free_engine(free=2)]) == ["urgent", "late"]
    assert moved(runs, [free_engine(free=0)]) == []
    # Room in a queue is none: where it is it still brings pieces.
    assert moved(runs, [free_engine(free=1, runs=6)]) == []


def test_a_run_goes_only_where_the_weights_and_the_memory_are():
    runs = [leaving_run("a", 120, oldest_version=2, tokens=500.0)]
    assert moved(runs, [free_engine(version=1)]) == []
    tight = free_engine(version=2, runs=1)
    tight.free_tokens = 499.0
    assert moved(runs, [tight]) == []
    assert moved(runs, [tight, free_engine("g", version=2)]) == ["a"]
    other = EngineCapacity("t", "t", 6, 0.04, {"m": 2}, 6)
    assert moved(runs, [other]) == []


def test_without_a_bound_all_that_is_worth_it_goes():
    engines = LeavingEngines()
    assert engines.noticed("e@1", 10.0, None, min_seconds=0.0)
    assert engines.until_seconds == {"e@1": 10.0}
    runs = [leaving_run("nearly whole", 2), leaving_run("half", 10)]
    assert moved(runs, [free_engine()], engines.until_seconds["e@1"], 10.0) == ["half"]


def test_the_time_left_counts_from_the_first_notice():
    engines = LeavingEngines()
    assert engines.noticed("e@1", 10.0, None, min_seconds=3.0)
    assert not engines.noticed("e@1", 11.0, None, min_seconds=3.0)
    assert engines.until_seconds["e@1"] == 13.0
    # What the engine says goes before the bound, and may only shorten it.
    assert not engines.noticed("e@1", 11.0, 1.5, min_seconds=3.0)
    assert engines.until_seconds["e@1"] == 12.5
    assert not engines.noticed("e@1", 12.0, 1.5, min_seconds=3.0)
    assert engines.until_seconds["e@1"] == 12.5
    engines.keep_only([])
    assert engines.until_seconds == {}


def test_a_third_of_all_runs_leaves_as_fast_as_the_others_have_room():
    """6 of 18 engines are taken away 2.5 s after the notice; slots become free as runs end."""
    rng = random.Random(3)
    for _ in range(50):
        until = {f"e{n}@1": 2.5 for n in range(6)}
        runs = {
            (start, place): leaving_run(
                f"{start}-{place}",
                rng.choice([10, 20, 30, 150]),
                start=start,
                start_by_seconds=rng.uniform(0, 4),
            )
            for start in until
            for place in range(6)
        }
        must_go = {run.key for run in runs.values() if run.remaining_pieces * 0.04 > 2.5 - 0.2}
        rooms = [free_engine(f"f{n}", free=0, runs=6) for n in range(12)]
        gone: list[LeavingRun] = []
        now = 0.0
        while now < 2.5:
            left = [
                LeavingRun(
                    **{
                        name: getattr(run, name)
                        for name in LeavingRun.__dataclass_fields__
                        if name != "remaining_pieces"
                    },
                    remaining_pieces=run.remaining_pieces - now / 0.04,
                )
                for run in runs.values()
                if run.key not in {each.key for each in gone}
            ]
            free_before = sum(room.free_slots for room in rooms)
            moves = runs_to_move(left, until, rooms, now)
            assert len(moves) <= free_before
            waiting = [run for run in left if run.key in must_go and run not in dict(moves)]
            if waiting and moves:
                worst = max(run.start_by_seconds for run, _ in moves)
                assert worst <= min(run.start_by_seconds for run in waiting)
            gone += [run for run, _ in moves]
            assert all(room.free_slots >= 0 and room.runs <= 6 for room in rooms)
            for room in rooms:
                if rng.random() < 0.15:
                    room.runs = min(room.runs, 5)
                    room.free_slots = 1
            now += 0.05
        assert {run.key for run in gone} == must_go


def test_a_reclaim_in_the_middle_of_a_load_moves_runs_only_to_engines_that_do_not_load():
    """An engine that loads tells no version of that model, so nothing may go there."""
    runs = [leaving_run("a", 120, oldest_version=3)]
    loading = EngineCapacity("loading", "s", 6, 0.03, {}, 6)
    older = free_engine("older", version=2)
    assert moved(runs, [loading, older]) == []
    loaded = free_engine("loaded", version=3, pace=0.08)
    moves = runs_to_move(runs, {"e@1": 1.0}, [loading, older, loaded], 0.0)
    assert [instance for _, instance in moves] == ["loaded"]
