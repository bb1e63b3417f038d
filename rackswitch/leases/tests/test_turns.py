from rackswitch.leases import ORDER_WINDOW_SECONDS, OrderTurns

TURN_SECONDS = 3.0


def test_the_first_holder_does_not_wait():
    assert OrderTurns("a").may_order_from_seconds("g", TURN_SECONDS) == float("-inf")


def test_a_successor_waits_from_the_last_entry_of_the_former_holder():
    turns = OrderTurns("b")
    turns.record_entry("g", "a", 1, 10.0)
    turns.record_entry("g", "a", 2, 12.0)
    assert (
        turns.may_order_from_seconds("g", TURN_SECONDS)
        == 12.0 + ORDER_WINDOW_SECONDS + TURN_SECONDS
    )
    assert turns.may_order_from_seconds("other", TURN_SECONDS) == float("-inf")


def test_a_restarted_daemon_does_not_wait_for_its_own_entry():
    turns = OrderTurns("a")
    turns.record_entry("g", "a", 1, 10.0)
    assert turns.may_order_from_seconds("g", TURN_SECONDS) == float("-inf")


def test_an_order_is_not_sent_after_its_window():
    turns = OrderTurns("a")
    assert turns.may_send(10.0, 10.0 + ORDER_WINDOW_SECONDS / 2)
    # For example after the process was paused between the entry and the order.
    assert not turns.may_send(10.0, 10.0 + ORDER_WINDOW_SECONDS)


def test_an_entry_that_is_read_again_does_not_extend_the_wait():
    turns = OrderTurns("b")
    turns.record_entry("g", "a", 5, 10.0)
    turns.record_entry("g", "a", 5, 12.0)
    turns.record_entry("g", "c", 4, 13.0)
    assert (
        turns.may_order_from_seconds("g", TURN_SECONDS)
        == 10.0 + ORDER_WINDOW_SECONDS + TURN_SECONDS
    )


def test_the_last_holder_is_that_of_the_newest_revision():
    turns = OrderTurns("a")
    assert turns.last_holder("g") is None
    turns.record_entry("g", "b", 5, 1.0)
    turns.record_entry("g", "c", 4, 2.0)
    assert turns.last_holder("g") == "b"
