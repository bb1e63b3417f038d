import hypothesis.strategies as st
from hypothesis import given

from rackswitch.clients.kv import KvEntry, WatchUpdate
from rackswitch.gateway.store.replicas import PrefixReplica


def entry(key: str, revision: int) -> KvEntry:
    return KvEntry(key, str(revision).encode(), revision, revision)


def follow(follower: PrefixReplica, leader: PrefixReplica) -> None:
    changes = leader.changes_since(follower.revision)
    if changes is None:
        return
    if changes.is_complete:
        follower.replace(changes.entries, changes.revision)
    else:
        follower.apply(WatchUpdate(changes.entries, changes.revision, changes.deleted))


def test_a_snapshot_returns_only_the_changes():
    replica = PrefixReplica("p/")
    replica.replace([entry("p/a", 1), entry("p/b", 2)], 5)
    update = replica.replace([entry("p/b", 2), entry("p/c", 7)], 8)
    assert [item.key for item in update.entries] == ["p/c"]
    assert update.deleted == ("p/a",)


def test_an_older_snapshot_is_ignored():
    replica = PrefixReplica("p/")
    replica.replace([entry("p/a", 7)], 8)
    assert replica.replace([], 5) == WatchUpdate((), 8)
    assert set(replica.entries) == {"p/a"}


def test_a_new_follower_gets_all_entries():
    leader, follower = PrefixReplica("p/"), PrefixReplica("p/")
    leader.replace([entry("p/a", 1)], 5)
    changes = leader.changes_since(0)
    assert changes is not None and changes.is_complete
    follow(follower, leader)
    assert follower.entries == leader.entries
    assert leader.changes_since(follower.revision) is None


def test_a_lagging_follower_gets_only_the_changes_it_lacks():
    leader = PrefixReplica("p/")
    leader.replace([entry("p/a", 1), entry("p/b", 2)], 5)
    leader.apply(WatchUpdate((entry("p/c", 6),), 6))
    changes = leader.changes_since(5)
    assert changes is not None and not changes.is_complete
    assert [item.key for item in changes.entries] == ["p/c"]


change_strategy = st.tuples(st.sampled_from("abcd"), st.booleans(), st.booleans())


@given(st.lists(change_strategy, max_size=60))
def test_a_follower_that_polls_irregularly_has_the_same_entries(steps):
    leader, follower = PrefixReplica("p/"), PrefixReplica("p/")
    leader.replace([], 1)
    revision = 1
    for key, is_put, follower_polls in steps:
        revision += 1
        if is_put:
            leader.apply(WatchUpdate((entry(key, revision),), revision))
        else:
            leader.apply(WatchUpdate((), revision, (key,)))
        if follower_polls:
            follow(follower, leader)
            assert follower.entries == leader.entries
    follow(follower, leader)
    assert follower.entries == leader.entries
