import hypothesis.strategies as st
import pytest
from hypothesis import given

from rackswitch.explain import Reason, read_events, split_step_times
from rackswitch.explain.loss_page import format_losses
from rackswitch.explain.tests.support import LoggingDaemon
from rackswitch.telemetry import events as ev

PACE_SECONDS = 0.04


def make_job_owned(
    job: str, age_seconds: float = 0.0, items: int = 1, step: int = 0
) -> ev.JobOwned:
    return ev.JobOwned(
        job=job,
        step=step,
        items=items,
        listed=0,
        age_seconds=age_seconds,
        owner_revision=1,
        oldest_version=1,
        model="m",
    )


def make_run_ended(
    job: str, item: str, seconds: float, pieces: int, first: int = 1, queued: float = 0.0
) -> ev.ItemRunEnded:
    return ev.ItemRunEnded(
        job=job,
        item=item,
        run=1,
        target="e",
        first_piece=first,
        pieces=pieces,
        versions=[1],
        oldest_version=1,
        run_seconds=seconds,
        list_age_seconds=0.1,
        outcome="whole",
        detail="",
        first_piece_seconds=queued,
    )


def make_results_appended(job: str, *items: str) -> ev.ResultsAppended:
    return ev.ResultsAppended(
        job=job, position=0, items=list(items), owner_revision=1, outcome="Appended"
    )


def make_job_dropped(job: str) -> ev.JobDropped:
    return ev.JobDropped(job=job, reason="handed over", listed=0, items=1, owner_revision=1)


def rows_of(*daemons: LoggingDaemon):
    return split_step_times(read_events(line for daemon in daemons for line in daemon.lines))


def parts_of(*daemons: LoggingDaemon) -> dict[Reason, float]:
    (row,) = rows_of(*daemons)
    return {reason: seconds for reason, seconds in row.parts_seconds.items() if seconds > 1e-6}


def log_best_pace_runs(a: LoggingDaemon) -> None:
    """Log runs of another job from which the best pace is estimated."""
    for number in range(10):
        a.log(0.0, make_run_ended("pace", f"p{number}", 100 * PACE_SECONDS, 100))


def test_step_time_is_split_by_what_its_last_item_waited_for():
    a = LoggingDaemon("a")
    a.log(0.0, make_job_owned("pace"))
    log_best_pace_runs(a)
    a.log(1.0, make_job_owned("j", age_seconds=0.5, items=2))
    a.log(1.2, make_run_ended("j", "short", 0.2, 5))
    a.log(2.0, make_results_appended("j", "short"))
    # Started 0.7 s after the submission, queued for 0.3 s, then 50 pieces in 3 s.
    a.log(4.5, make_run_ended("j", "long", 3.3, 50, queued=0.3))
    a.log(4.7, make_results_appended("j", "long"))
    (row,) = rows_of(a)
    assert row.is_complete
    assert row.took_seconds == pytest.approx(4.2)
    assert row.parts_seconds[Reason.NO_WEIGHTS] == pytest.approx(0.7)
    assert row.parts_seconds[Reason.QUEUE] == pytest.approx(0.3)
    assert row.parts_seconds[Reason.BEST_PACE] == pytest.approx(50 * PACE_SECONDS)
    assert row.parts_seconds[Reason.SLOW] == pytest.approx(1.0)
    assert row.parts_seconds[Reason.LISTING] == pytest.approx(0.2)


def test_hand_over_and_death_of_an_owner_are_separate_reasons():
    a, b = LoggingDaemon("a"), LoggingDaemon("b")
    a.log(0.0, make_job_owned("j"))
    a.log(1.0, make_job_dropped("j"))
    b.log(1.6, make_job_owned("j", age_seconds=1.6))
    b.log(2.6, make_run_ended("j", "i", 1.0, 25))
    b.log(2.6, make_results_appended("j", "i"))
    parts = parts_of(a, b)
    assert parts[Reason.NO_OWNER] == pytest.approx(0.6)
    assert Reason.OWNER_DIED not in parts
    a, b = LoggingDaemon("a"), LoggingDaemon("b")
    a.log(0.0, make_job_owned("j"))
    b.log(1.6, make_job_owned("j", age_seconds=1.6))
    b.log(2.6, make_run_ended("j", "i", 1.0, 25))
    b.log(2.6, make_results_appended("j", "i"))
    assert parts_of(a, b)[Reason.OWNER_DIED] == pytest.approx(1.6)


def test_time_of_a_discarded_run_counts_as_regenerated():
    a = LoggingDaemon("a")
    a.log(0.0, make_job_owned("j"))
    a.log(1.0, make_run_ended("j", "i", 1.0, 25))
    a.log(1.3, make_run_ended("j", "i", 0.2, 30, first=26))
    a.log(2.4, make_run_ended("j", "i", 1.0, 25))
    a.log(2.4, make_results_appended("j", "i"))
    parts = parts_of(a)
    assert parts[Reason.REGENERATED] == pytest.approx(0.2)
    assert parts[Reason.BETWEEN_RUNS] == pytest.approx(0.2)


def test_late_submission_is_behind_the_typical_interval():
    a = LoggingDaemon("a")
    for number, at_seconds in enumerate((0.0, 4.0, 8.0, 14.0, 18.0)):
        job = f"j{number}"
        a.log(at_seconds, make_job_owned(job, step=number))
        a.log(at_seconds + 1.0, make_run_ended(job, f"{job}-i", 1.0, 25))
        a.log(at_seconds + 1.0, make_results_appended(job, f"{job}-i"))
    behind = [round(row.behind_seconds, 3) for row in rows_of(a)]
    assert behind == [0.0, 0.0, 0.0, 2.0, 0.0]
    text = format_losses(rows_of(a))
    assert "m: 5 steps" in text
    assert "submitted 0.40 s behind" in text


def test_logs_without_a_listed_job_have_no_losses():
    a = LoggingDaemon("a")
    a.log(0.0, make_job_owned("j"))
    assert rows_of(a) == []
    assert "no job" in format_losses([])


@given(
    st.lists(st.tuples(st.floats(0.01, 2.0), st.integers(1, 60), st.floats(0.0, 0.5)), min_size=1)
)
def test_parts_sum_to_the_total(runs):
    a = LoggingDaemon("a")
    a.log(0.0, make_job_owned("j"))
    now_seconds, pieces_done = 0.0, 0
    for idle_seconds, pieces, queued in runs:
        seconds = queued + pieces * PACE_SECONDS
        now_seconds += idle_seconds + seconds
        a.log(
            now_seconds,
            make_run_ended("j", "i", seconds, pieces_done + pieces, pieces_done + 1, queued),
        )
        pieces_done += pieces
    a.log(now_seconds + 0.1, make_results_appended("j", "i"))
    (row,) = rows_of(a)
    assert row.took_seconds == pytest.approx(now_seconds + 0.1, abs=1e-3)
    assert all(seconds >= -1e-6 for seconds in row.parts_seconds.values())
