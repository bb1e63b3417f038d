import pytest

from rackswitch.gateway.items.engine_paces import (
    INITIAL_PACE_SECONDS,
    PACE_LIFETIME_SECONDS,
    EnginePaces,
)


def paces_with(*intervals: tuple[str, float, float]) -> EnginePaces:
    """Return paces with recorded intervals: engine start, seconds per piece, time."""
    paces = EnginePaces()
    for start, interval_seconds, at_seconds in intervals:
        paces.record_interval(start, interval_seconds, at_seconds)
    return paces


def test_paces_from_another_daemon_are_used_until_they_expire():
    sender, receiver = paces_with(("slow", 0.12, 10.0)), EnginePaces()
    # The monotonic clocks of two daemons are unrelated.
    receiver.record_peer_paces(sender.current_paces(11.0), 500.0)
    assert receiver.get("slow", 500.0) == pytest.approx(0.12)
    assert receiver.get("slow", 499.0 + PACE_LIFETIME_SECONDS) == INITIAL_PACE_SECONDS


def test_keeps_the_newer_of_two_paces():
    receiver = paces_with(("e", 0.04, 9.0))
    receiver.record_peer_paces(paces_with(("e", 0.12, 100.0)).current_paces(102.0), 10.0)
    assert receiver.get("e", 10.0) == pytest.approx(0.04)
    receiver.record_peer_paces(paces_with(("e", 0.12, 100.0)).current_paces(100.5), 10.0)
    assert receiver.get("e", 10.0) == pytest.approx(0.12)


def test_does_not_send_expired_paces():
    assert paces_with(("e", 0.12, 0.0)).current_paces(PACE_LIFETIME_SECONDS) == []
