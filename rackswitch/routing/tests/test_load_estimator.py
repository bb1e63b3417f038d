"""How words, sends and times become a belief, and how that ages."""

import math

import pytest

from rackswitch.routing import ListedTarget, LoadEstimator, ReportedLoad, WorkKind

CALL = WorkKind.CALL


def engine(name: str, started_at_unix_ms: int = 0) -> ListedTarget:
    return ListedTarget(name, "s", "h", 1, "z", 6, started_at_unix_ms=started_at_unix_ms)


def word(running=0, waiting=0, pace: float | None = 1.0, at=0.0, slots=6) -> ReportedLoad:
    return ReportedLoad(running, waiting, slots, pace, at)


def place(picture, target, at, kind=CALL, units=1.0):
    return picture.place(target, kind, units, at)


def serve(picture, target, at, took, kind=CALL):
    """Send a call and let it be served after a time."""
    sent = picture.sent(target, kind, place(picture, target, at, kind), at)
    picture.done(sent)
    picture.worked(sent, 1.0, at + took)


def test_only_a_service_whose_targets_tell_their_pace_counts_as_one():
    picture = LoadEstimator()
    assert not picture.tells_pace("s")
    picture.heard("a@0", "s", word(pace=None))
    assert not picture.tells_pace("s")
    picture.heard("a@0", "s", word())
    assert picture.tells_pace("s")
    assert not picture.tells_pace("t")


def test_own_sends_since_a_word_are_added_and_own_ends_taken_off():
    picture, target = LoadEstimator(), engine("a")
    before = picture.sent(target, CALL, place(picture, target, 0.0), 0.0)
    picture.heard(target.start, "s", word(running=3))
    assert place(picture, target, 0.0).running == 3
    after = picture.sent(target, CALL, place(picture, target, 0.0), 0.0)
    assert place(picture, target, 0.0).running == 4
    picture.done(after)
    picture.done(before)
    assert place(picture, target, 0.0).running == 2


def test_a_stream_that_goes_on_unseen_counts_as_others():
    picture, target = LoadEstimator(), engine("a")
    sent = picture.sent(target, CALL, place(picture, target, 0.0), 0.0)
    picture.heard(target.start, "s", word(running=1))
    picture.done(sent, goes_on=True)
    assert place(picture, target, 0.0).running == 1
    assert place(picture, target, 20.0).running == pytest.approx(0.0, abs=1e-6)


def test_an_idle_target_ages_into_probably_free_but_for_own_requests():
    """A cut stops its words as well: both look alike, and neither keeps the last word alive."""
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word(running=6, waiting=9, pace=2.5))
    picture.sent(target, CALL, place(picture, target, 0.0), 0.0)
    waits = [place(picture, target, at).wait_seconds(0.05) for at in (0.0, 0.2, 0.5, 2.0)]
    assert waits == sorted(waits, reverse=True)
    assert waits[0] > 0.1
    late = place(picture, target, 20.0)
    assert late.running == pytest.approx(1.0, abs=1e-6)
    assert late.wait_seconds(0.05) == 0.0
    assert late.word_age_seconds == 20.0


def test_a_target_without_a_word_is_free_and_as_good_as_the_best():
    picture = LoadEstimator()
    picture.heard("a@0", "s", word(pace=0.6))
    picture.heard("b@0", "s", word(pace=1.2))
    unheard = place(picture, engine("c"), 0.0)
    assert unheard.pace == 0.6
    assert unheard.free_slots == 6
    assert math.isinf(unheard.word_age_seconds)


def test_a_steady_pace_is_kept_while_words_pause():
    picture, slow, fast = LoadEstimator(), engine("slow"), engine("fast")
    for step in range(50):
        picture.heard(slow.start, "s", word(pace=1.2, at=step * 0.1))
        picture.heard(fast.start, "s", word(pace=0.6, at=step * 0.1))
    assert place(picture, slow, 6.0).pace > 1.7 * place(picture, fast, 6.0).pace


def test_noise_of_some_tenths_of_a_second_counts_at_once_and_not_for_long():
    picture, target = LoadEstimator(), engine("a")
    for step in range(51):
        picture.heard(target.start, "s", word(pace=1.0, at=step * 0.1))
    picture.heard(target.start, "s", word(pace=2.5, at=5.1))
    assert place(picture, target, 5.1).pace > 2.2
    assert place(picture, target, 6.1).pace < 1.2
    # A text of a second outlasts the noise.
    text = place(picture, target, 5.1, WorkKind.TEXT, units=25.0)
    assert 1.2 < text.pace < 1.7


def test_an_older_word_does_not_replace_a_newer_one():
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word(running=5, at=1.0))
    picture.heard(target.start, "s", word(running=0, at=0.5))
    assert place(picture, target, 1.0).running == 5


def test_a_refusal_is_newer_than_the_word_that_says_free():
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word(running=0))
    picture.refused(target.start, 0.0)
    assert place(picture, target, 0.0).wait_seconds(0.05) > 0.0
    assert place(picture, target, 2.0).wait_seconds(0.05) == 0.0
    picture.refused(target.start, 3.0)
    picture.heard(target.start, "s", word(running=0, at=3.1))
    assert place(picture, target, 3.1).wait_seconds(0.05) == 0.0


def test_nothing_of_an_old_word_counts_for_another_start_of_an_engine():
    picture, before, again = LoadEstimator(), engine("a", 1), engine("a", 2)
    picture.heard(before.start, "s", word(running=6, waiting=9, pace=3.0))
    picture.refused(before.start, 0.0)
    for _ in range(5):
        picture.failed(before.start, 0.0)
    picture.heard("b@0", "s", word(pace=1.0))
    new = place(picture, again, 0.0)
    assert (new.running, new.waiting, new.pace) == (0, 0, 1.0)
    assert math.isinf(new.word_age_seconds)
    # What still ends of the old one, or is said late in its name, does not touch the new one.
    picture.done(picture.sent(before, CALL, place(picture, before, 0.1), 0.1))
    picture.heard(before.start, "s", word(running=6, waiting=9, at=0.2))
    assert place(picture, again, 0.2).running == 0
    picture.forget(before.start)
    assert place(picture, again, 0.2).pace == 1.0


def test_a_target_that_says_good_and_is_slow_is_believed_slow_after_a_few_calls():
    picture, liar, honest = LoadEstimator(), engine("liar"), engine("honest")
    for step in range(20):
        at = step * 0.2
        for target, took in ((liar, 0.3), (honest, 0.05)):
            picture.heard(target.start, "s", word(pace=1.0, at=at))
            serve(picture, target, at, took)
    assert place(picture, liar, 4.0).pace > 2.5 * place(picture, honest, 4.0).pace


def test_a_target_that_says_busy_and_is_free_is_believed_less_busy():
    picture, liar = LoadEstimator(), engine("liar")
    picture.heard(liar.start, "s", word(running=6, waiting=9))
    first = place(picture, liar, 0.0).finish_seconds(1.0, 0.05)
    for step in range(1, 20):
        at = step * 0.2
        picture.heard(liar.start, "s", word(running=6, waiting=9, at=at))
        serve(picture, liar, at, 0.05)
    assert place(picture, liar, 3.8).finish_seconds(1.0, 0.05) < first / 1.5


def test_a_target_that_fails_fast_does_not_look_fast():
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word())
    for step in range(10):
        picture.failed(target.start, step * 0.2)
    assert place(picture, target, 2.0).pace > 3.0
    assert place(picture, target, 20.0).pace == pytest.approx(1.0, rel=0.05)


def test_a_call_that_is_overdue_shows_a_target_that_stands_still():
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word())
    sent = picture.sent(target, CALL, place(picture, target, 0.0), 0.0)
    assert place(picture, target, 0.04).pace == 1.0
    assert place(picture, target, 0.25).pace == pytest.approx(5.0, rel=0.05)
    # A newer word does not make its answer come.
    picture.heard(target.start, "s", word(at=0.25))
    assert place(picture, target, 0.25).pace > 4.5
    picture.done(sent)
    assert place(picture, target, 0.25).pace == 1.0


def test_pieces_show_a_pace_that_words_do_not_tell():
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word(pace=1.0))
    for step in range(1, 20):
        picture.piece(target.start, "s", 0.12, step * 0.12)
    text = place(picture, target, 2.3, WorkKind.TEXT, units=20.0)
    assert text.unit_seconds * text.pace == pytest.approx(0.12, rel=0.3)


def test_a_slow_pace_that_is_seen_and_then_told_counts_once():
    picture, target = LoadEstimator(), engine("a")
    for step in range(20):
        picture.heard(target.start, "s", word(pace=1.0, at=step * 0.1))
        serve(picture, target, step * 0.1, 0.125)
    seen = place(picture, target, 2.0).pace
    picture.heard(target.start, "s", word(pace=2.5, at=2.0))
    assert place(picture, target, 2.0).pace < 1.4 * max(seen, 2.5)


def test_an_engine_that_queues_with_free_slots_is_as_good_as_full():
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word(running=3, waiting=2))
    assert place(picture, target, 0.0).free_slots == 0
    assert place(picture, target, 0.0).waiting == 2


def test_a_call_sent_while_another_is_overdue_is_measured_against_words():
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word())
    stuck = picture.sent(target, CALL, place(picture, target, 0.0), 0.0)
    second = picture.sent(target, CALL, place(picture, target, 0.25), 0.25)
    picture.done(second)
    picture.worked(second, 1.0, 0.3)
    picture.done(stuck)
    # It took what words promise: the target is as fast as it says, and no faster.
    assert place(picture, target, 0.3).pace == pytest.approx(1.0, rel=0.02)


def test_words_without_a_pace_do_not_keep_a_learnt_pace_alive():
    picture, slow = LoadEstimator(), engine("slow")
    picture.heard("fast@0", "s", word(pace=0.5))
    picture.heard(slow.start, "s", word(pace=2.0))
    for second in range(1, 61):
        picture.heard(slow.start, "s", word(pace=None, at=float(second)))
    assert place(picture, slow, 60.0).pace == pytest.approx(0.5, rel=0.05)


def test_words_without_a_pace_do_not_shorten_what_a_word_with_one_stands_for():
    picture, target = LoadEstimator(), engine("a")
    picture.heard(target.start, "s", word(pace=2.0))
    for step in range(1, 100):
        picture.heard(target.start, "s", word(pace=None, at=step * 0.1))
    picture.heard(target.start, "s", word(pace=1.0, at=10.0))
    assert place(picture, target, 11.0).pace == pytest.approx(1.0, rel=0.05)


def test_only_starts_that_are_kept_count_in_the_best_pace():
    picture = LoadEstimator()
    picture.heard("a@0", "s", word(pace=1.5))
    picture.heard("gone@0", "s", word(pace=0.5))
    picture.forget("gone@0")
    # An answer that was under way as its target went.
    picture.heard("gone@0", "s", word(pace=0.5, at=0.1))
    picture.failed("gone@0", 0.1)
    picture.keep_only({"a@0"})
    assert picture.starts() == {"a@0"}
    assert place(picture, engine("new"), 0.1).pace == 1.5
