"""Windows, counts, and which report is made when."""

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.usage import UsageCounts, UsageReport, UsageReports, UsageWindows

WINDOWS = UsageWindows(5.0, 10.0)
SETTLE_SECONDS = 1.8
times = st.floats(min_value=0, max_value=2e9)


@given(times)
def test_each_moment_lies_in_one_window(at):
    window = WINDOWS.number_at(at)
    assert WINDOWS.begins_at_unix_seconds(window) <= at < WINDOWS.ends_at_unix_seconds(window)
    assert WINDOWS.ends_at_unix_seconds(window) == WINDOWS.begins_at_unix_seconds(window + 1)


@given(st.lists(st.tuples(st.sampled_from("ab"), st.floats(1000, 1020))))
def test_every_beginning_is_counted_once(begun):
    counts = UsageCounts(WINDOWS, 0.0)
    for tenant, at in begun:
        counts.began(tenant, at)
    told = sum(sum(counts.of(window).values()) for window in range(200, 205))
    assert told == len(begun)


def test_what_was_handed_over_is_answered_for_once():
    leaving, staying = UsageCounts(WINDOWS, 0.0), UsageCounts(WINDOWS, 0.0)
    leaving.began("a", 1001.0)
    leaving.began("a", 1006.0)
    for window, counts in leaving.take_since(200).items():
        staying.add(window, counts)
    assert leaving.of(200) == leaving.of(201) == {}
    assert staying.of(200) == staying.of(201) == {"a": 1}


def test_old_counts_are_forgotten():
    counts = UsageCounts(WINDOWS, 0.0)
    for window in range(100):
        counts.began("a", window * 5.0)
    assert counts.of(0) == {}
    assert counts.of(99) == {"a": 1}


def test_windows_are_gathered_in_order_once_their_requests_have_begun():
    reports = UsageReports(last_fixed=199)
    assert reports.next_to_gather(WINDOWS, SETTLE_SECONDS, 1006.7) is None
    assert reports.next_to_gather(WINDOWS, SETTLE_SECONDS, 1006.9) == 200
    later = reports.with_fixed(UsageReport(200, {}))
    assert later.next_to_gather(WINDOWS, SETTLE_SECONDS, 1006.9) is None


def test_after_an_outage_what_can_be_in_time_is_made_up_for_and_the_rest_left():
    reports = UsageReports(last_fixed=190)
    window = reports.next_to_gather(WINDOWS, SETTLE_SECONDS, 1022.0)
    assert window == 202
    assert WINDOWS.due_at_unix_seconds(window) > 1022.0
    assert WINDOWS.due_at_unix_seconds(window - 1) <= 1022.0


@given(st.integers(0, 400), times)
def test_no_window_is_gathered_twice_or_before_its_end(last_fixed, now):
    window = UsageReports(last_fixed).next_to_gather(WINDOWS, SETTLE_SECONDS, now)
    if window is not None:
        assert window > last_fixed
        assert WINDOWS.ends_at_unix_seconds(window) + SETTLE_SECONDS <= now + 1e-6


def test_reports_are_kept_until_they_are_taken_and_are_bounded():
    reports = UsageReports()
    for window in range(1, 100):
        reports = reports.with_fixed(UsageReport(window, {"a": window}))
    assert len(reports.open) == 24
    reports.taken(99)
    assert reports.open[-1].window == 98
    assert reports.last_fixed == 99
