from rackswitch.spread import SourceSelector, fresh_seconds
from rackswitch.spread.choice import (
    AVOID_SECONDS,
    NOT_READY_SECONDS,
    STALE_SECONDS,
    START_SECONDS,
)

SOURCES = ("a", "b")


def following(name: str = "a") -> SourceSelector:
    choice = SourceSelector(0.0)
    assert choice.succeeded(name)
    return choice


def test_the_second_source_is_asked_at_once_and_the_first_again_after_a_while():
    choice = following()
    choice.failed("a", 10.0)
    assert not choice.is_following
    assert choice.next_source(SOURCES, 10.0) == "b"
    choice.succeeded("b")
    assert choice.next_source(SOURCES, 10.0 + AVOID_SECONDS / 2) == "b"
    assert choice.next_source(SOURCES, 10.0 + AVOID_SECONDS) == "a"


def test_a_failed_try_of_the_first_source_leaves_the_second_followed():
    choice = following("b")
    choice.failed("a", 10.0)
    assert choice.followed == "b"
    assert not choice.must_watch(SOURCES, 1, 10.0)


def test_the_root_watches_and_a_daemon_next_to_it_does_once_no_source_is_left():
    choice = following()
    assert choice.must_watch((), 0, 0.0)
    assert not choice.must_watch(SOURCES, 1, 10.0)
    choice.failed("a", 10.0)
    assert not choice.must_watch(SOURCES, 1, 10.1)
    choice.failed("b", 10.1)
    assert choice.must_watch(SOURCES, 1, 10.1)


def test_the_farther_from_the_root_the_longer_a_daemon_leaves_the_repair_to_others():
    choice = following()
    choice.failed("a", 10.0)
    choice.failed("b", 10.0)
    times = [
        next(t for t in range(100) if choice.must_watch(SOURCES, n, 10 + t / 10)) for n in (1, 2, 3)
    ]
    assert times == sorted(set(times))
    assert fresh_seconds(1) < fresh_seconds(2) < fresh_seconds(3)


def test_sources_that_are_starting_are_waited_for_but_not_without_end():
    choice = SourceSelector(5.0)
    choice.not_ready("a", 5.0)
    choice.not_ready("b", 5.0)
    assert choice.next_source(SOURCES, 5.0) is None
    assert choice.next_source(SOURCES, 5.0 + NOT_READY_SECONDS) == "a"
    assert not choice.must_watch(SOURCES, 1, 5.0 + START_SECONDS / 2)
    assert choice.must_watch(SOURCES, 1, 5.0 + START_SECONDS)


def test_a_source_whose_word_was_old_is_asked_again_sooner_than_a_silent_one():
    choice = following()
    choice.stale("a", 10.0)
    choice.failed("b", 10.0)
    assert choice.must_watch(SOURCES, 1, 10.0)
    assert choice.next_source(SOURCES, 10.0 + STALE_SECONDS) == "a"
    assert STALE_SECONDS < AVOID_SECONDS
