"""Choice of the daemons that send to a cold target, and the settling of views."""

from rackswitch.warmup import SenderViews, choose_senders
from rackswitch.warmup.senders import MAX_SAMPLE_AGE_SECONDS, SETTLE_SECONDS

FLEET = [f"d{number}" for number in range(70)]


def settled_views(candidates: list[str], until_seconds: float) -> SenderViews:
    views = SenderViews()
    sample = 0
    while sample * 0.1 <= until_seconds:
        views.record(candidates, sample * 0.1)
        sample += 1
    return views


def test_a_change_of_one_candidate_changes_at_most_one_sender():
    """Guards against views that differ by one daemon and choose different senders altogether."""
    for start in (f"e{number}@1" for number in range(50)):
        senders = choose_senders(start, FLEET, 3)
        assert len(senders) == 3
        assert senders == choose_senders(start, reversed(FLEET), 3)
        for removed in FLEET:
            others = choose_senders(start, [name for name in FLEET if name != removed], 3)
            assert len(senders - others) == (removed in senders)


def test_senders_are_spread_over_the_fleet():
    """Guards against a few daemons that send to every cold target."""
    chosen = {name for number in range(200) for name in choose_senders(f"e{number}@1", FLEET, 3)}
    assert chosen == set(FLEET)


def test_a_daemon_sends_only_once_its_view_has_settled():
    """Guards against a daemon that has just started and knows itself only."""
    for until_seconds, is_sender in ((SETTLE_SECONDS - 0.1, False), (SETTLE_SECONDS + 0.1, True)):
        views = settled_views(["a"], until_seconds)
        assert views.is_sender("a", "e@1", 3, until_seconds) is is_sender


def test_a_replaced_sender_stops_at_once_and_its_successor_waits():
    """Guards against more senders than planned while daemons learn of a change."""
    first, second = sorted(FLEET, key=lambda name: name not in choose_senders("e", FLEET, 1))[:2]
    views = settled_views([second], SETTLE_SECONDS + 1.0)
    now_seconds = SETTLE_SECONDS + 1.1
    assert views.is_sender(second, "e", 1, now_seconds)
    views.record([first, second], now_seconds)
    assert not views.is_sender(second, "e", 1, now_seconds)
    assert not views.is_sender(first, "e", 1, now_seconds)
    while now_seconds < 2 * SETTLE_SECONDS + 1.2:
        now_seconds += 0.1
        views.record([first, second], now_seconds)
    assert views.is_sender(first, "e", 1, now_seconds)


def test_a_paused_daemon_settles_again():
    """Guards against a daemon that resumes and sends by its view from before the pause."""
    until_seconds = SETTLE_SECONDS + 0.1
    views = settled_views(["a"], until_seconds)
    after_seconds = until_seconds + MAX_SAMPLE_AGE_SECONDS + 0.2
    assert not views.is_sender("a", "e", 1, after_seconds)
    views.record(["a"], after_seconds)
    assert not views.is_sender("a", "e", 1, after_seconds)
    assert not views.is_sender("a", "e", 1, after_seconds + 0.5)
