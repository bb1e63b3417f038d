"""Garbage collection in tests does not traverse objects left by earlier tests."""

import gc


def test_objects_from_before_a_test_are_frozen():
    assert len(gc.get_objects()) < gc.get_freeze_count() / 10
