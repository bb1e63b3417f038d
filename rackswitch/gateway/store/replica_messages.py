"""Conversion of replica changes to and from the messages between daemons."""

import math

from rackswitch.clients.kv import KvEntry, WatchUpdate
from rackswitch.gateway.store.replicas import PrefixReplica
from rackswitch.peers import gateway_pb2 as pb

__all__ = ["append_changes", "decode_changes"]

MAX_REPORTED_AGE_SECONDS = 60.0
"""Upper bound of the replica age sent to followers. A replica that was never confirmed has an
infinite age, which the message field cannot hold."""


def decode_changes(message: pb.CopyNews) -> WatchUpdate:
    """Return the changes of one replica from its message."""
    entries = tuple(
        KvEntry(entry.key, entry.value, entry.create_revision, entry.revision)
        for entry in message.entries
    )
    return WatchUpdate(entries, message.revision, tuple(message.deleted))


def append_changes(
    reply: pb.FollowReply, replica: PrefixReplica, revision: int, now_seconds: float
) -> None:
    """Append to a reply the changes of a replica that a follower at `revision` lacks."""
    age_seconds = min(MAX_REPORTED_AGE_SECONDS, now_seconds - replica.confirmed_at_seconds)
    message = reply.news.add(
        prefix=replica.prefix, revision=replica.revision, age_ms=math.ceil(age_seconds * 1000)
    )
    changes = replica.changes_since(revision)
    if changes is None:
        return
    message.whole = changes.is_complete
    message.deleted.extend(changes.deleted)
    for entry in changes.entries:
        message.entries.add(
            key=entry.key,
            value=entry.value,
            revision=entry.mod_revision,
            create_revision=entry.create_revision,
        )
