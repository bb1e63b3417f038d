"""Keeping copies of the key-value service's prefixes current.

A few daemons of the fleet watch the service; the others follow one of these.
A daemon that cannot follow anybody watches the service itself.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from rackswitch.clients.kv import KvEntry, KvUnavailable, WatchNews
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.store.copies import PrefixCopy
from rackswitch.gateway.store.copy_messages import add_news, changes_in
from rackswitch.gateway.store.followers import FollowChoice
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.telemetry.events import CannotFollow, Follows

__all__ = ["CopyHandlers", "CopyKeeper"]

RETRY_SECONDS = 0.1
"""Pause after a broken watch; a change must be in force within 2 s, most of which a silent
watch may have used up already."""

FOLLOW_WAIT_SECONDS = 0.7
"""How long a follower's question is held open; as long as a watch of the service."""

FOLLOW_SLACK_SECONDS = 0.3
"""How much later than that an answer may come before the other daemon counts as silent."""

FRESH_SECONDS = 1.4
"""How old the service's word for a copy may be that is followed: a watch's time, its slack,
and what an answer takes."""


@dataclass(frozen=True, slots=True)
class CopyHandlers:
    """Who is told of changes under a prefix, and of when the service last vouched for it."""

    on_put: Callable[[KvEntry], None]
    on_deleted: Callable[[str], None]
    on_confirmed: Callable[[float], None] = lambda at_seconds: None


class CopyKeeper:
    """The copies of one daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    handlers : dict of str to CopyHandlers
        Who is told, by prefix.
    paces : EnginePaces
        Told along with the copies, both ways.
    """

    __slots__ = ("_choice", "_context", "_handlers", "_paces", "_wake", "copies")

    def __init__(
        self, context: GatewayContext, handlers: dict[str, CopyHandlers], paces: EnginePaces
    ):
        self._paces = paces
        self._context = context
        self._handlers = handlers
        self._choice = FollowChoice(context.settings.daemon)
        self._wake = asyncio.Event()
        self.copies = {prefix: PrefixCopy(prefix) for prefix in handlers}

    @property
    def is_complete(self) -> bool:
        """Whether every prefix has been read."""
        return all(copy.revision > 0 for copy in self.copies.values())

    @property
    def followed(self) -> str:
        """The daemon whose copies are taken over; empty if the service is watched itself."""
        return self._choice.followed if self._choice.is_following else ""

    async def run(self) -> None:
        """Keep the copies current until cancelled."""
        await asyncio.gather(self._follow_peers(), *(self._watch(p) for p in self.copies))

    # From the service

    async def _watch(self, prefix: str) -> None:
        copy = self.copies[prefix]
        must_read = True
        while True:
            if must_read:
                must_read = not await self._read(copy)
                if must_read:
                    await self._pause()
            elif self._choice.is_following:
                await self._pause()
            else:
                # A watch that broke, or went silent, may have missed changes.
                must_read = await self._watch_until_broken(copy)

    async def _pause(self) -> None:
        await asyncio.sleep(RETRY_SECONDS * (0.5 + self._context.rng.random()))

    async def _read(self, copy: PrefixCopy) -> bool:
        """Read a whole prefix; return whether the service answered."""
        asked_at_seconds = self._context.now_seconds()
        read = await self._context.kv.read(copy.prefix, is_prefix=True)
        self._context.contact.note(self._context.now_seconds(), read)
        if isinstance(read, KvUnavailable):
            return False
        self._tell(copy, copy.replace(read.entries, read.revision))
        self._confirm(copy, asked_at_seconds)
        return True

    async def _watch_until_broken(self, copy: PrefixCopy) -> bool:
        """Follow the service's changes; return whether the watch broke."""
        async for news in self._context.kv.watch(copy.prefix, copy.revision):
            now_seconds = self._context.now_seconds()
            if isinstance(news, KvUnavailable):
                if not news.history_lost:
                    self._context.contact.failed(now_seconds, f"watch: {news.detail}")
                return True
            self._context.contact.answered(now_seconds)
            copy.apply(news)
            self._confirm(copy, now_seconds)
            self._tell(copy, news)
            if self._choice.is_following:
                return False
        return False

    # From another daemon

    async def _follow_peers(self) -> None:
        while True:
            await asyncio.sleep(RETRY_SECONDS)
            members = self._context.daemon.membership
            now_seconds = self._context.now_seconds()
            name = self._choice.leader(members.live_zones(), now_seconds)
            if name is None or not self.is_complete:
                continue
            while await self._follow(name):
                pass

    async def _follow(self, name: str) -> bool:
        """Ask another daemon for what changed; return whether to ask it again at once."""
        peer = self._context.daemon.membership.address(name)
        if peer is None:
            self._choice.failed(name, self._context.now_seconds())
            return False
        positions = [
            pb.CopyPosition(prefix=copy.prefix, revision=copy.revision)
            for copy in self.copies.values()
        ]
        request = pb.FollowRequest(
            positions=positions,
            wait_ms=round(FOLLOW_WAIT_SECONDS * 1000),
            paces=self._paces_to_tell(),
        )
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.Follow,
            request,
            FOLLOW_WAIT_SECONDS + FOLLOW_SLACK_SECONDS,
            GatewayPeersStub,
        )
        now_seconds = self._context.now_seconds()
        if isinstance(reply, PeerUnreachable) or not self._take_reply(reply, now_seconds):
            reason = reply.detail if isinstance(reply, PeerUnreachable) else "not fresh"
            self._choice.failed(name, now_seconds)
            self._context.log.write(CannotFollow(daemon_asked=name, reason=reason))
            return False
        self._paces.hear(reply.paces, now_seconds)
        if self._choice.succeeded(name):
            self._context.log.write(Follows(daemon_followed=name))
        return True

    def _take_reply(self, reply: pb.FollowReply, now_seconds: float) -> bool:
        """Take in a reply; return whether the copies may be followed."""
        if reply.refused or len(reply.news) < len(self.copies):
            return False
        fresh = True
        for news in reply.news:
            copy = self.copies.get(news.prefix)
            if copy is None:
                continue
            if news.revision > copy.revision:
                self._take_news(copy, news)
            age_seconds = news.age_ms / 1000
            # The other daemon's revision may be behind this copy's for a moment, after this
            # daemon has watched the service itself; its word counts if it is fresh.
            fresh = fresh and age_seconds <= FRESH_SECONDS
            if news.revision >= copy.revision:
                self._confirm(copy, now_seconds - age_seconds)
        return fresh

    def _take_news(self, copy: PrefixCopy, news: pb.CopyNews) -> None:
        changes = changes_in(news)
        if news.whole:
            self._tell(copy, copy.replace(changes.entries, news.revision))
            return
        copy.apply(changes)
        self._tell(copy, changes)

    def _paces_to_tell(self) -> list[pb.EnginePace]:
        if not self._context.policy.paces_told:
            return []
        return self._paces.to_tell(self._context.now_seconds())

    # For other daemons

    async def serve(self, request: pb.FollowRequest) -> pb.FollowReply:
        """Answer a follower: at once if it misses something, else after its wait."""
        self._paces.hear(request.paces, self._context.now_seconds())
        if self._choice.is_following or not self.is_complete:
            return pb.FollowReply(refused=True)
        revisions = {position.prefix: position.revision for position in request.positions}
        deadline_seconds = self._context.now_seconds() + request.wait_ms / 1000
        while not self._has_news(revisions):
            try:
                async with asyncio.timeout_at(deadline_seconds):
                    await self._wake.wait()
            except TimeoutError:
                break
        now_seconds = self._context.now_seconds()
        reply = pb.FollowReply(paces=self._paces_to_tell())
        for prefix, revision in revisions.items():
            if prefix in self.copies:
                add_news(reply, self.copies[prefix], revision, now_seconds)
        return reply

    def _has_news(self, revisions: dict[str, int]) -> bool:
        """Return whether a follower misses entries; a mere rise of the revision can wait."""
        for prefix, revision in revisions.items():
            copy = self.copies.get(prefix)
            changes = copy.changes_since(revision) if copy is not None else None
            if changes is not None and (changes.whole or changes.entries or changes.deleted):
                return True
        return False

    def _confirm(self, copy: PrefixCopy, at_seconds: float) -> None:
        copy.confirmed_at_seconds = max(copy.confirmed_at_seconds, at_seconds)
        self._handlers[copy.prefix].on_confirmed(copy.confirmed_at_seconds)

    def _tell(self, copy: PrefixCopy, news: WatchNews) -> None:
        handlers = self._handlers[copy.prefix]
        for entry in news.entries:
            handlers.on_put(entry)
        for key in news.deleted:
            handlers.on_deleted(key)
        if news.entries or news.deleted:
            self._wake.set()
            self._wake = asyncio.Event()
