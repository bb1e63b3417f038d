from rackswitch.gateway.store.followers import AVOID_SECONDS, FollowChoice

LIVE = [("a", "x"), ("b", "y"), ("c", "x"), ("d", "y")]


def test_the_first_daemons_watch_and_the_others_follow_one_of_their_zone():
    assert FollowChoice("a").leader(LIVE, 0.0) is None
    assert FollowChoice("b").leader(LIVE, 0.0) is None
    assert FollowChoice("c").leader(LIVE, 0.0) == "a"
    assert FollowChoice("d").leader(LIVE, 0.0) == "b"


def test_after_a_failure_the_other_is_followed_and_the_service_is_watched_until_then():
    choice = FollowChoice("c")
    choice.leader(LIVE, 0.0)
    assert choice.succeeded("a")
    assert choice.is_following
    choice.failed("a", 1.0)
    assert not choice.is_following
    assert choice.leader(LIVE, 1.1) == "b"
    choice.failed("b", 1.2)
    assert choice.leader(LIVE, 1.3) is None
    assert choice.leader(LIVE, 1.1 + AVOID_SECONDS) == "a"


def test_a_follower_that_becomes_a_watcher_stops_following():
    choice = FollowChoice("c")
    choice.leader(LIVE, 0.0)
    choice.succeeded("a")
    assert choice.leader([("c", "x"), ("d", "y")], 1.0) is None
    assert not choice.is_following
