"""Guards against two daemons that act in one role, and against roles that stay vacant."""

import pytest

from rackswitch.leases import LeaseAction, RoleLease, rank_candidates
from rackswitch.leases.core import PREFERRED_DAEMON_WAIT_SECONDS
from rackswitch.outcomes import BrokenInvariant

TTL_SECONDS = 4.0
LIVE_DAEMONS = ["a", "b", "c", "d"]


def lease_of(daemon: str) -> RoleLease:
    return RoleLease("role", daemon, TTL_SECONDS)


def test_the_first_two_candidates_try_to_acquire_a_role():
    ranked = rank_candidates("role", LIVE_DAEMONS)
    actions = [lease_of(name).next_action(0.0, LIVE_DAEMONS, False) for name in ranked]
    assert actions == [LeaseAction.ACQUIRE] * 2 + [LeaseAction.NOTHING] * 2


def test_a_leaving_daemon_releases_its_role_and_acquires_none():
    best = rank_candidates("role", LIVE_DAEMONS)[0]
    lease = lease_of(best)
    assert lease.next_action(0.0, LIVE_DAEMONS, True) is LeaseAction.NOTHING
    lease.record_acquired(0.0, 1, 7)
    assert lease.next_action(0.1, LIVE_DAEMONS, True) is LeaseAction.RELEASE


def test_a_holder_acts_until_its_deadline_and_renews_before():
    lease = lease_of("a")
    lease.record_acquired(10.0, 1, 7)
    deadline_seconds = 10.0 + TTL_SECONDS * 0.75
    assert lease.may_act(deadline_seconds - 0.01)
    assert not lease.may_act(deadline_seconds)
    assert lease.next_action(10.1, LIVE_DAEMONS, False) is LeaseAction.NOTHING
    assert lease.next_action(10.0 + TTL_SECONDS / 3, LIVE_DAEMONS, False) is LeaseAction.RENEW
    lease.record_renewal(11.0)
    assert lease.may_act(deadline_seconds + 0.5)
    # A late answer does not move the deadline back.
    lease.record_renewal(5.0)
    assert lease.may_act(deadline_seconds + 0.5)


def test_a_role_without_renewals_ends_at_its_deadline():
    lease = lease_of("a")
    lease.record_acquired(0.0, 1, 7)
    lease.record_no_answer(1.0, 0.0)
    assert lease.held is not None
    lease.record_no_answer(TTL_SECONDS, 0.0)
    assert lease.held is None
    assert lease.next_try_seconds > TTL_SECONDS


def test_a_fencing_number_that_does_not_increase_is_an_error():
    lease = lease_of("a")
    lease.record_acquired(0.0, 1, 7)
    lease.record_loss(1.0, 0.0)
    with pytest.raises(BrokenInvariant):
        lease.record_acquired(2.0, 2, 7)


def test_the_preferred_daemon_may_acquire_a_vacant_role_first():
    lease = lease_of("a")
    assert lease.may_acquire(0.0, None)
    assert lease.may_acquire(0.0, "a")
    assert not lease.may_acquire(0.0, "b")
    assert lease.next_try_seconds > 0.0
    assert not lease.may_acquire(PREFERRED_DAEMON_WAIT_SECONDS - 0.1, "b")
    assert lease.may_acquire(PREFERRED_DAEMON_WAIT_SECONDS, "b")


def test_the_wait_for_the_preferred_daemon_restarts_after_the_role_was_held():
    lease = lease_of("a")
    assert not lease.may_acquire(0.0, "b")
    lease.record_loss(0.5, 0.0)
    assert not lease.may_acquire(PREFERRED_DAEMON_WAIT_SECONDS + 0.1, "b")
