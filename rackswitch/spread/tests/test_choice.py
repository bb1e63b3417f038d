from rackswitch.spread import SourceSelector, max_age_seconds
from rackswitch.spread.choice import (
    FAILED_SOURCE_COOLDOWN_SECONDS,
    NOT_READY_RETRY_SECONDS,
    STALE_SOURCE_COOLDOWN_SECONDS,
    STARTUP_WAIT_SECONDS,
)

SOURCES = ("a", "b")


def selector_following(name: str = "a") -> SourceSelector:
    selector = SourceSelector(0.0)
    assert selector.record_success(name)
    return selector


def test_a_failed_source_is_replaced_at_once_and_asked_again_after_its_cooldown():
    selector = selector_following()
    selector.record_failure("a", 10.0)
    assert not selector.is_following
    assert selector.next_source(SOURCES, 10.0) == "b"
    selector.record_success("b")
    assert selector.next_source(SOURCES, 10.0 + FAILED_SOURCE_COOLDOWN_SECONDS / 2) == "b"
    assert selector.next_source(SOURCES, 10.0 + FAILED_SOURCE_COOLDOWN_SECONDS) == "a"


def test_a_failed_request_to_another_source_keeps_the_current_one():
    selector = selector_following("b")
    selector.record_failure("a", 10.0)
    assert selector.source == "b"
    assert not selector.must_watch(SOURCES, 1, 10.0)


def test_the_root_watches_and_a_daemon_next_to_it_does_once_all_sources_failed():
    selector = selector_following()
    assert selector.must_watch((), 0, 0.0)
    assert not selector.must_watch(SOURCES, 1, 10.0)
    selector.record_failure("a", 10.0)
    assert not selector.must_watch(SOURCES, 1, 10.1)
    selector.record_failure("b", 10.1)
    assert selector.must_watch(SOURCES, 1, 10.1)


def test_daemons_farther_from_the_root_wait_longer_before_they_watch():
    selector = selector_following()
    selector.record_failure("a", 10.0)
    selector.record_failure("b", 10.0)
    times = [
        next(t for t in range(100) if selector.must_watch(SOURCES, n, 10 + t / 10))
        for n in (1, 2, 3)
    ]
    assert times == sorted(set(times))
    assert max_age_seconds(1) < max_age_seconds(2) < max_age_seconds(3)


def test_the_wait_for_starting_sources_is_bounded():
    selector = SourceSelector(5.0)
    selector.record_not_ready("a", 5.0)
    selector.record_not_ready("b", 5.0)
    assert selector.next_source(SOURCES, 5.0) is None
    assert selector.next_source(SOURCES, 5.0 + NOT_READY_RETRY_SECONDS) == "a"
    assert not selector.must_watch(SOURCES, 1, 5.0 + STARTUP_WAIT_SECONDS / 2)
    assert selector.must_watch(SOURCES, 1, 5.0 + STARTUP_WAIT_SECONDS)


def test_a_stale_source_is_asked_again_sooner_than_one_that_did_not_answer():
    selector = selector_following()
    selector.record_stale("a", 10.0)
    selector.record_failure("b", 10.0)
    assert selector.must_watch(SOURCES, 1, 10.0)
    assert selector.next_source(SOURCES, 10.0 + STALE_SOURCE_COOLDOWN_SECONDS) == "a"
    assert STALE_SOURCE_COOLDOWN_SECONDS < FAILED_SOURCE_COOLDOWN_SECONDS


def test_a_late_source_is_not_waited_for_but_followed_again_if_it_answers():
    selector = selector_following()
    selector.record_silence("a", 10.0, retry_at_seconds=10.2)
    assert not selector.is_following
    assert selector.next_source(SOURCES, 10.0) == "b"
    selector.record_silence("b", 10.1, retry_at_seconds=10.3)
    assert selector.next_source(SOURCES, 10.1) is None
    assert selector.must_watch(SOURCES, 1, 10.1)
    assert selector.record_success("a")
    assert not selector.must_watch(SOURCES, 1, 10.2)
