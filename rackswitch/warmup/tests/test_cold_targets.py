"""Until when the starts of targets are cold, and the ramp after that."""

import pytest

from rackswitch.warmup import ColdTargets, Warmth, sender_factor, warmth
from rackswitch.warmup.cold_targets import AFTER_PAUSE_SECONDS, RETENTION_SECONDS
from rackswitch.warmup.ramp import RAMP_SECONDS


def test_an_entry_counts_from_when_it_is_applied():
    """Guards against a cold phase that ends before the target's own."""
    cold = ColdTargets()
    assert cold.record_entry("e", "e@1", 5, 3.0, 100.0)
    assert cold.until_seconds("e@1") == 103.0
    assert not cold.record_entry("e", "e@1", 6, 2.0, 101.2)
    assert cold.until_seconds("e@1") == pytest.approx(103.2)


@pytest.mark.parametrize("revision", [4, 5])
@pytest.mark.parametrize("left_seconds", [0.0, 9.0])
def test_an_older_or_equal_revision_changes_nothing(revision, left_seconds):
    """Guards against an entry that a lagging source delivers again after a newer one."""
    cold = ColdTargets()
    cold.record_entry("e", "e@1", 5, 3.0, 100.0)
    assert not cold.record_entry("e", "e@1", revision, left_seconds, 101.0)
    assert cold.until_seconds("e@1") == 103.0


def test_an_old_entry_after_a_lapse_changes_nothing():
    """Guards against forgetting the revision of a target whose entry lapsed for a moment."""
    cold = ColdTargets()
    cold.record_entry("e", "e@1", 5, 3.0, 100.0)
    cold.keep_only(set(), 101.0)
    cold.record_entry("e", "e@1", 4, 0.0, 101.5)
    assert cold.until_seconds("e@1") == 103.0


def test_a_new_start_replaces_the_previous_one():
    """Guards against a restarted target that inherits the end of an earlier cold phase."""
    cold = ColdTargets()
    cold.record_entry("e", "e@1", 5, 30.0, 100.0)
    cold.mark_cold("e@1", 140.0)
    assert cold.record_entry("e", "e@2", 6, 3.0, 101.0)
    assert cold.until_seconds("e@2") == 104.0
    assert cold.until_seconds("e@1") == -float("inf")


def test_an_entry_may_end_the_phase_but_no_mark():
    """Guards against an entry written in the evacuation that ends the phase after it."""
    cold = ColdTargets()
    cold.record_entry("e", "e@1", 5, 9.0, 100.0)
    cold.record_entry("e", "e@1", 6, 0.0, 101.0)
    assert cold.until_seconds("e@1") == 101.0
    assert cold.mark_cold("e@1", 105.0)
    cold.record_entry("e", "e@1", 7, 0.0, 102.0)
    cold.record_entry("e", "e@1", 8, 1.0, 102.0)
    assert cold.until_seconds("e@1") == 105.0
    cold.record_entry("e", "e@1", 9, 8.0, 102.0)
    assert cold.until_seconds("e@1") == 110.0
    assert not cold.mark_cold("e@1", 104.0)


def test_a_target_may_become_cold_again():
    """Guards against a target that counts as warm for ever once it was warm."""
    cold = ColdTargets()
    cold.record_entry("e", "e@1", 5, 0.0, 100.0)
    assert cold.until_seconds("e@1") == -float("inf")
    assert cold.record_entry("e", "e@1", 6, 3.0, 200.0)
    assert cold.record_entry("e", "e@1", 7, 3.0, 300.0)


def test_state_of_starts_that_left_is_removed_in_the_end():
    """Guards against state that grows with every start of a target."""
    cold = ColdTargets()
    cold.record_entry("e", "e@1", 5, 3.0, 0.0)
    cold.mark_cold("f@1", 3.0)
    cold.keep_only({"f@1"}, 3.1 + RETENTION_SECONDS)
    assert cold.starts() == {"f@1"}


def test_a_phase_that_ended_in_a_pause_is_extended():
    """Guards against a daemon that resumes before it learns that a target is still cold."""
    cold = ColdTargets()
    cold.record_entry("e", "e@1", 5, 3.0, 100.0)
    cold.record_entry("f", "f@1", 6, 1.0, 100.0)
    cold.record_pause(102.0, 110.0)
    assert cold.until_seconds("e@1") == 110.0 + AFTER_PAUSE_SECONDS
    assert cold.until_seconds("f@1") == 101.0


def test_ramp_opens_in_steps():
    """Guards against all owners filling a target at the moment when it becomes warm."""
    assert warmth(10.0, 9.9) is Warmth.COLD
    assert warmth(10.0, 10.0) is Warmth.WARMING
    assert warmth(10.0, 10.0 + RAMP_SECONDS) is Warmth.WARM
    assert warmth(-float("inf"), 0.0) is Warmth.WARM
    factors = [sender_factor(10.0, now) for now in (9.0, 10.0, 10.25, 10.5, 10.75, 10.99)]
    assert factors == [1, 2, 4, 8, 16, 16]
