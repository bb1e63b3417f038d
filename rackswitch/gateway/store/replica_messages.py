"""Changes of a prefix's copy, as daemons pass them on."""

import math

from rackswitch.clients.kv import KvEntry, WatchNews
from rackswitch.gateway.store.replicas import PrefixReplica
from rackswitch.peers import gateway_pb2 as pb

__all__ = ["append_changes", "decode_changes"]

MAX_REPORTED_AGE_SECONDS = 60.0
"""Largest age of a copy that is told to followers: far over `FRESH_SECONDS`, and it keeps a
copy that was never confirmed, whose age is infinite, within the field's range."""


def decode_changes(news: pb.CopyNews) -> WatchNews:
    """Return the changes that a reply tells of one copy."""
    entries = tuple(
        KvEntry(entry.key, entry.value, entry.create_revision, entry.revision)
        for entry in news.entries
    )
    return WatchNews(entries, news.revision, tuple(news.deleted))


def append_changes(
    reply: pb.FollowReply, replica: PrefixReplica, revision: int, now_seconds: float
) -> None:
    """Add to a reply what a follower at a revision of a copy misses."""
    age_seconds = min(MAX_REPORTED_AGE_SECONDS, now_seconds - replica.confirmed_at_seconds)
    news = reply.news.add(
        prefix=replica.prefix, revision=replica.revision, age_ms=math.ceil(age_seconds * 1000)
    )
    changes = replica.changes_since(revision)
    if changes is None:
        return
    news.whole = changes.is_complete
    news.deleted.extend(changes.deleted)
    for entry in changes.entries:
        news.entries.add(
            key=entry.key,
            value=entry.value,
            revision=entry.mod_revision,
            create_revision=entry.create_revision,
        )
