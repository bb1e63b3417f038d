"""What earlier tests left in this process holds up no daemon of a test."""

import gc


def test_only_what_a_test_makes_itself_is_looked_through_for_garbage():
    assert len(gc.get_objects()) < gc.get_freeze_count() / 10
