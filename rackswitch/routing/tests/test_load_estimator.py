"""How load reports, sends and observed times update the load estimates, and how these decay."""

import math

import pytest

from rackswitch.routing import ListedTarget, LoadEstimator, ReportedLoad, WorkKind

CALL = WorkKind.CALL


def engine(name: str, started_at_unix_ms: int = 0) -> ListedTarget:
    return ListedTarget(name, "s", "h", 1, "z", 6, started_at_unix_ms=started_at_unix_ms)


def report(running=0, waiting=0, pace: float | None = 1.0, at_seconds=0.0, slots=6) -> ReportedLoad:
    return ReportedLoad(running, waiting, slots, pace, at_seconds)


def estimate(estimator, target, at_seconds, kind=CALL, units=1.0):
    return estimator.estimate(target, kind, units, at_seconds)


def serve(estimator, target, at_seconds, took_seconds, kind=CALL):
    """Send a call that is served after `took_seconds`."""
    sent = estimator.record_send(
        target, kind, estimate(estimator, target, at_seconds, kind), at_seconds
    )
    estimator.record_end(sent)
    estimator.record_completion(sent, 1.0, at_seconds + took_seconds)


def test_a_service_reports_its_pace_once_one_target_has():
    estimator = LoadEstimator()
    assert not estimator.reports_pace("s")
    estimator.record_report("a@0", "s", report(pace=None))
    assert not estimator.reports_pace("s")
    estimator.record_report("a@0", "s", report())
    assert estimator.reports_pace("s")
    assert not estimator.reports_pace("t")


def test_own_requests_since_a_report_adjust_the_estimate():
    estimator, target = LoadEstimator(), engine("a")
    first = estimator.record_send(target, CALL, estimate(estimator, target, 0.0), 0.0)
    estimator.record_report(target.start, "s", report(running=3))
    assert estimate(estimator, target, 0.0).running == 3
    second = estimator.record_send(target, CALL, estimate(estimator, target, 0.0), 0.0)
    assert estimate(estimator, target, 0.0).running == 4
    estimator.record_end(second)
    estimator.record_end(first)
    assert estimate(estimator, target, 0.0).running == 2


def test_an_unobserved_stream_counts_as_another_daemons_request():
    estimator, target = LoadEstimator(), engine("a")
    sent = estimator.record_send(target, CALL, estimate(estimator, target, 0.0), 0.0)
    estimator.record_report(target.start, "s", report(running=1))
    estimator.record_end(sent, continues_unobserved=True)
    assert estimate(estimator, target, 0.0).running == 1
    assert estimate(estimator, target, 20.0).running == pytest.approx(0.0, abs=1e-6)


def test_an_old_report_decays_to_own_requests_only():
    """Idle and unreachable targets send no reports; their last report must not persist."""
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report(running=6, waiting=9, pace=2.5))
    estimator.record_send(target, CALL, estimate(estimator, target, 0.0), 0.0)
    waits = [
        estimate(estimator, target, at_seconds).wait_seconds(0.05)
        for at_seconds in (0.0, 0.2, 0.5, 2.0)
    ]
    assert waits == sorted(waits, reverse=True)
    assert waits[0] > 0.1
    aged = estimate(estimator, target, 20.0)
    assert aged.running == pytest.approx(1.0, abs=1e-6)
    assert aged.wait_seconds(0.05) == 0.0
    assert aged.report_age_seconds == 20.0


def test_a_target_without_a_report_is_assumed_idle_with_the_best_pace():
    estimator = LoadEstimator()
    estimator.record_report("a@0", "s", report(pace=0.6))
    estimator.record_report("b@0", "s", report(pace=1.2))
    without_report = estimate(estimator, engine("c"), 0.0)
    assert without_report.pace == 0.6
    assert without_report.free_slots == 6
    assert math.isinf(without_report.report_age_seconds)


def test_a_steady_pace_is_remembered_between_reports():
    estimator, slow, fast = LoadEstimator(), engine("slow"), engine("fast")
    for step in range(50):
        estimator.record_report(slow.start, "s", report(pace=1.2, at_seconds=step * 0.1))
        estimator.record_report(fast.start, "s", report(pace=0.6, at_seconds=step * 0.1))
    assert estimate(estimator, slow, 6.0).pace > 1.7 * estimate(estimator, fast, 6.0).pace


def test_pace_noise_takes_effect_at_once_and_decays_quickly():
    estimator, target = LoadEstimator(), engine("a")
    for step in range(51):
        estimator.record_report(target.start, "s", report(pace=1.0, at_seconds=step * 0.1))
    estimator.record_report(target.start, "s", report(pace=2.5, at_seconds=5.1))
    assert estimate(estimator, target, 5.1).pace > 2.2
    assert estimate(estimator, target, 6.1).pace < 1.2
    # A text of one second takes longer than the noise lasts.
    text_estimate = estimate(estimator, target, 5.1, WorkKind.TEXT, units=25.0)
    assert 1.2 < text_estimate.pace < 1.7


def test_an_older_report_does_not_replace_a_newer_one():
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report(running=5, at_seconds=1.0))
    estimator.record_report(target.start, "s", report(running=0, at_seconds=0.5))
    assert estimate(estimator, target, 1.0).running == 5


def test_a_refusal_overrides_earlier_reports_only():
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report(running=0))
    estimator.record_refusal(target.start, 0.0)
    assert estimate(estimator, target, 0.0).wait_seconds(0.05) > 0.0
    assert estimate(estimator, target, 2.0).wait_seconds(0.05) == 0.0
    estimator.record_refusal(target.start, 3.0)
    estimator.record_report(target.start, "s", report(running=0, at_seconds=3.1))
    assert estimate(estimator, target, 3.1).wait_seconds(0.05) == 0.0


def test_a_restarted_engine_inherits_nothing():
    estimator, first, restarted = LoadEstimator(), engine("a", 1), engine("a", 2)
    estimator.record_report(first.start, "s", report(running=6, waiting=9, pace=3.0))
    estimator.record_refusal(first.start, 0.0)
    for _ in range(5):
        estimator.record_failure(first.start, 0.0)
    estimator.record_report("b@0", "s", report(pace=1.0))
    new_estimate = estimate(estimator, restarted, 0.0)
    assert (new_estimate.running, new_estimate.waiting, new_estimate.pace) == (0, 0, 1.0)
    assert math.isinf(new_estimate.report_age_seconds)
    # Late ends and reports of the previous start do not affect the new one.
    estimator.record_end(estimator.record_send(first, CALL, estimate(estimator, first, 0.1), 0.1))
    estimator.record_report(first.start, "s", report(running=6, waiting=9, at_seconds=0.2))
    assert estimate(estimator, restarted, 0.2).running == 0
    estimator.forget(first.start)
    assert estimate(estimator, restarted, 0.2).pace == 1.0


def test_observed_calls_correct_a_pace_reported_too_fast():
    estimator, misreporting, accurate = LoadEstimator(), engine("misreporting"), engine("accurate")
    for step in range(20):
        at_seconds = step * 0.2
        for target, took_seconds in ((misreporting, 0.3), (accurate, 0.05)):
            estimator.record_report(target.start, "s", report(pace=1.0, at_seconds=at_seconds))
            serve(estimator, target, at_seconds, took_seconds)
    assert (
        estimate(estimator, misreporting, 4.0).pace > 2.5 * estimate(estimator, accurate, 4.0).pace
    )


def test_observed_calls_correct_a_load_reported_too_high():
    estimator, misreporting = LoadEstimator(), engine("misreporting")
    estimator.record_report(misreporting.start, "s", report(running=6, waiting=9))
    initial_seconds = estimate(estimator, misreporting, 0.0).finish_seconds(1.0, 0.05)
    for step in range(1, 20):
        at_seconds = step * 0.2
        estimator.record_report(
            misreporting.start, "s", report(running=6, waiting=9, at_seconds=at_seconds)
        )
        serve(estimator, misreporting, at_seconds, 0.05)
    assert estimate(estimator, misreporting, 3.8).finish_seconds(1.0, 0.05) < initial_seconds / 1.5


def test_fast_failures_do_not_make_a_target_look_fast():
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report())
    for step in range(10):
        estimator.record_failure(target.start, step * 0.2)
    assert estimate(estimator, target, 2.0).pace > 3.0
    assert estimate(estimator, target, 20.0).pace == pytest.approx(1.0, rel=0.05)


def test_an_overdue_call_reveals_a_stalled_target():
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report())
    sent = estimator.record_send(target, CALL, estimate(estimator, target, 0.0), 0.0)
    assert estimate(estimator, target, 0.04).pace == 1.0
    assert estimate(estimator, target, 0.25).pace == pytest.approx(5.0, rel=0.05)
    # A newer report does not clear an overdue call.
    estimator.record_report(target.start, "s", report(at_seconds=0.25))
    assert estimate(estimator, target, 0.25).pace > 4.5
    estimator.record_end(sent)
    assert estimate(estimator, target, 0.25).pace == 1.0


def test_piece_intervals_correct_the_reported_pace():
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report(pace=1.0))
    for step in range(1, 20):
        estimator.record_piece_interval(target.start, "s", 0.12, step * 0.12)
    text_estimate = estimate(estimator, target, 2.3, WorkKind.TEXT, units=20.0)
    assert text_estimate.unit_seconds * text_estimate.pace == pytest.approx(0.12, rel=0.3)


def test_a_slow_pace_observed_and_then_reported_counts_once():
    estimator, target = LoadEstimator(), engine("a")
    for step in range(20):
        estimator.record_report(target.start, "s", report(pace=1.0, at_seconds=step * 0.1))
        serve(estimator, target, step * 0.1, 0.125)
    observed_pace = estimate(estimator, target, 2.0).pace
    estimator.record_report(target.start, "s", report(pace=2.5, at_seconds=2.0))
    assert estimate(estimator, target, 2.0).pace < 1.4 * max(observed_pace, 2.5)


def test_an_engine_that_queues_with_free_slots_counts_as_full():
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report(running=3, waiting=2))
    assert estimate(estimator, target, 0.0).free_slots == 0
    assert estimate(estimator, target, 0.0).waiting == 2


def test_a_call_sent_while_another_is_overdue_is_compared_with_reports():
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report())
    stuck = estimator.record_send(target, CALL, estimate(estimator, target, 0.0), 0.0)
    second = estimator.record_send(target, CALL, estimate(estimator, target, 0.25), 0.25)
    estimator.record_end(second)
    estimator.record_completion(second, 1.0, 0.3)
    estimator.record_end(stuck)
    # It took as long as reported: the estimate is neither slower nor faster than the report.
    assert estimate(estimator, target, 0.3).pace == pytest.approx(1.0, rel=0.02)


def test_reports_without_a_pace_do_not_stop_the_decay_of_an_average_pace():
    estimator, slow = LoadEstimator(), engine("slow")
    estimator.record_report("fast@0", "s", report(pace=0.5))
    estimator.record_report(slow.start, "s", report(pace=2.0))
    for second in range(1, 61):
        estimator.record_report(slow.start, "s", report(pace=None, at_seconds=float(second)))
    assert estimate(estimator, slow, 60.0).pace == pytest.approx(0.5, rel=0.05)


def test_reports_without_a_pace_do_not_reduce_the_next_pace_weight():
    estimator, target = LoadEstimator(), engine("a")
    estimator.record_report(target.start, "s", report(pace=2.0))
    for step in range(1, 100):
        estimator.record_report(target.start, "s", report(pace=None, at_seconds=step * 0.1))
    estimator.record_report(target.start, "s", report(pace=1.0, at_seconds=10.0))
    assert estimate(estimator, target, 11.0).pace == pytest.approx(1.0, rel=0.05)


def test_the_best_pace_ignores_removed_starts():
    estimator = LoadEstimator()
    estimator.record_report("a@0", "s", report(pace=1.5))
    estimator.record_report("gone@0", "s", report(pace=0.5))
    estimator.forget("gone@0")
    # A report that arrives after its target was removed.
    estimator.record_report("gone@0", "s", report(pace=0.5, at_seconds=0.1))
    estimator.record_failure("gone@0", 0.1)
    estimator.keep_only({"a@0"})
    assert estimator.starts() == {"a@0"}
    assert estimate(estimator, engine("new"), 0.1).pace == 1.5
