"""Time windows, counts and the schedule of usage reports."""

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.usage import UsageCounts, UsageReport, UsageReports, UsageWindows

WINDOWS = UsageWindows(5.0, 10.0)
SETTLE_SECONDS = 1.8
UNIX_TIMES = st.floats(min_value=0, max_value=2e9)


@given(UNIX_TIMES)
def test_each_time_is_in_one_window(at):
    window = WINDOWS.number_at(at)
    assert WINDOWS.begins_at_unix_seconds(window) <= at < WINDOWS.ends_at_unix_seconds(window)
    assert WINDOWS.ends_at_unix_seconds(window) == WINDOWS.begins_at_unix_seconds(window + 1)


@given(st.lists(st.tuples(st.sampled_from("ab"), st.floats(1000, 1020))))
def test_each_request_is_counted_once(begun):
    counts = UsageCounts(WINDOWS, 0.0)
    for tenant, at in begun:
        counts.record_start(tenant, at)
    counted = sum(sum(counts.counts_in(window).values()) for window in range(200, 205))
    assert counted == len(begun)


def test_handed_over_counts_are_held_by_one_daemon():
    stopping, remaining = UsageCounts(WINDOWS, 0.0), UsageCounts(WINDOWS, 0.0)
    stopping.record_start("a", 1001.0)
    stopping.record_start("a", 1006.0)
    for window, counts in stopping.pop_since(200).items():
        remaining.add(window, counts)
    assert stopping.counts_in(200) == stopping.counts_in(201) == {}
    assert remaining.counts_in(200) == remaining.counts_in(201) == {"a": 1}


def test_old_counts_are_discarded():
    counts = UsageCounts(WINDOWS, 0.0)
    for window in range(100):
        counts.record_start("a", window * 5.0)
    assert counts.counts_in(0) == {}
    assert counts.counts_in(99) == {"a": 1}


def test_windows_are_collected_in_order_after_the_settle_time():
    reports = UsageReports(last_fixed=199)
    assert reports.next_window_to_collect(WINDOWS, SETTLE_SECONDS, 1006.7) is None
    assert reports.next_window_to_collect(WINDOWS, SETTLE_SECONDS, 1006.9) == 200
    later = reports.with_stored_report(UsageReport(200, {}))
    assert later.next_window_to_collect(WINDOWS, SETTLE_SECONDS, 1006.9) is None


def test_after_an_outage_late_windows_are_skipped():
    reports = UsageReports(last_fixed=190)
    window = reports.next_window_to_collect(WINDOWS, SETTLE_SECONDS, 1022.0)
    assert window == 202
    assert WINDOWS.due_at_unix_seconds(window) > 1022.0
    assert WINDOWS.due_at_unix_seconds(window - 1) <= 1022.0


@given(st.integers(0, 400), UNIX_TIMES)
def test_no_window_is_collected_twice_or_before_its_end(last_fixed, now):
    window = UsageReports(last_fixed).next_window_to_collect(WINDOWS, SETTLE_SECONDS, now)
    if window is not None:
        assert window > last_fixed
        assert WINDOWS.ends_at_unix_seconds(window) + SETTLE_SECONDS <= now + 1e-6


def test_undelivered_reports_are_kept_up_to_a_limit():
    reports = UsageReports()
    for window in range(1, 100):
        reports = reports.with_stored_report(UsageReport(window, {"a": window}))
    assert len(reports.open) == 24
    reports.record_delivered(99)
    assert reports.open[-1].window == 98
    assert reports.last_fixed == 99
