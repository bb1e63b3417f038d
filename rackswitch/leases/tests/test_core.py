"""One daemon's side of a role: who tries, who goes first, and until when it may act."""

import pytest

from rackswitch.leases import LeaseAction, RoleLease, rank_candidates
from rackswitch.leases.core import PREFERENCE_SECONDS
from rackswitch.outcomes import BrokenInvariant

LIFE_SECONDS = 4.0
LIVE = ["a", "b", "c", "d"]


def lease_of(daemon: str) -> RoleLease:
    return RoleLease("role", daemon, LIFE_SECONDS)


def test_the_best_two_candidates_try():
    ranked = rank_candidates("role", LIVE)
    actions = [lease_of(name).next_action(0.0, LIVE, False) for name in ranked]
    assert actions == [LeaseAction.ACQUIRE] * 2 + [LeaseAction.NOTHING] * 2


def test_a_daemon_that_leaves_releases_and_tries_no_more():
    best = rank_candidates("role", LIVE)[0]
    lease = lease_of(best)
    assert lease.next_action(0.0, LIVE, True) is LeaseAction.NOTHING
    lease.acquired(0.0, 1, 7)
    assert lease.next_action(0.1, LIVE, True) is LeaseAction.RELEASE


def test_a_holder_acts_until_its_own_deadline_and_renews_before():
    lease = lease_of("a")
    lease.acquired(10.0, 1, 7)
    deadline_seconds = 10.0 + LIFE_SECONDS * 0.75
    assert lease.may_act(deadline_seconds - 0.01)
    assert not lease.may_act(deadline_seconds)
    assert lease.next_action(10.1, LIVE, False) is LeaseAction.NOTHING
    assert lease.next_action(10.0 + LIFE_SECONDS / 3, LIVE, False) is LeaseAction.RENEW
    lease.renewed(11.0)
    assert lease.may_act(deadline_seconds + 0.5)
    # An answer that comes late does not shorten what is held.
    lease.renewed(5.0)
    assert lease.may_act(deadline_seconds + 0.5)


def test_unanswered_renewals_end_the_role_at_its_deadline():
    lease = lease_of("a")
    lease.acquired(0.0, 1, 7)
    lease.unanswered(1.0, 0.0)
    assert lease.held is not None
    lease.unanswered(LIFE_SECONDS, 0.0)
    assert lease.held is None
    assert lease.next_try_seconds > LIFE_SECONDS


def test_fencing_numbers_only_grow():
    lease = lease_of("a")
    lease.acquired(0.0, 1, 7)
    lease.lost(1.0, 0.0)
    with pytest.raises(BrokenInvariant):
        lease.acquired(2.0, 2, 7)


def test_a_vacant_role_is_left_to_the_preferred_daemon_for_a_moment():
    lease = lease_of("a")
    assert lease.may_take(0.0, None)
    assert lease.may_take(0.0, "a")
    assert not lease.may_take(0.0, "b")
    assert lease.next_try_seconds > 0.0
    assert not lease.may_take(PREFERENCE_SECONDS - 0.1, "b")
    assert lease.may_take(PREFERENCE_SECONDS, "b")


def test_the_moment_begins_anew_once_somebody_has_held_the_role():
    lease = lease_of("a")
    assert not lease.may_take(0.0, "b")
    lease.lost(0.5, 0.0)
    assert not lease.may_take(PREFERENCE_SECONDS + 0.1, "b")
