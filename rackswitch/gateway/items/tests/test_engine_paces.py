import pytest

from rackswitch.gateway.items.engine_paces import FIRST_PACE_SECONDS, PACE_LIFE_SECONDS, EnginePaces


def seen(*paces: tuple[str, float, float]) -> EnginePaces:
    """Return what a daemon saw: engine, seconds per piece, when."""
    known = EnginePaces()
    for instance, gap_seconds, at_seconds in paces:
        known.note(instance, gap_seconds, at_seconds)
    return known


def test_a_daemon_without_runs_knows_slow_engines_by_others_word():
    teller, hearer = seen(("slow", 0.12, 10.0)), EnginePaces()
    # The clocks of two daemons have nothing in common.
    hearer.hear(teller.to_tell(11.0), 500.0)
    assert hearer.get("slow", 500.0) == pytest.approx(0.12)
    assert hearer.get("slow", 499.0 + PACE_LIFE_SECONDS) == FIRST_PACE_SECONDS


def test_the_newer_word_counts():
    hearer = seen(("e", 0.04, 9.0))
    hearer.hear(seen(("e", 0.12, 100.0)).to_tell(102.0), 10.0)
    assert hearer.get("e", 10.0) == pytest.approx(0.04)
    hearer.hear(seen(("e", 0.12, 100.0)).to_tell(100.5), 10.0)
    assert hearer.get("e", 10.0) == pytest.approx(0.12)


def test_what_is_too_old_is_not_told():
    assert seen(("e", 0.12, 0.0)).to_tell(PACE_LIFE_SECONDS) == []
