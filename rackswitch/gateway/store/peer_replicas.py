"""Keeping replicas current by following another daemon."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.start_times import StartPart
from rackswitch.gateway.store.replica_messages import decode_changes
from rackswitch.gateway.store.replica_server import paces_to_send
from rackswitch.gateway.store.replica_set import ReplicaSet
from rackswitch.gateway.store.service_watch import ServiceWatch
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.spread import DistributionTree, SourceSelector, TreeMember, max_age_seconds
from rackswitch.telemetry.events import ReplicationRefused, ReplicationStarted

__all__ = ["PeerFollower"]

FOLLOW_WAIT_SECONDS = 0.8
"""How long the source holds a follower's request open; somewhat longer than a watch of the
service, so that the request is usually answered by the next change or confirmation."""

FOLLOW_SLACK_SECONDS = 0.3
"""Additional time after which a request to the source fails with a timeout."""

FOLLOW_HEDGE_SECONDS = 0.1
"""Additional time after which the next source is asked as well, or the service if there is none."""

MIN_FOLLOW_WAIT_SECONDS = 0.1
"""Minimum time for which a source holds a request open, however old the replicas are."""

POLL_INTERVAL_SECONDS = 0.1
"""Interval between checks for a source while none is available."""

RECOVERY_WINDOW_SECONDS = 1.0
"""How long after the service is reachable again stale sources have only a short cooldown."""

STARTUP_MEMBER_READS = 5
"""How often a starting daemon reads the members before it assumes that there are no others."""


@dataclass(frozen=True, slots=True)
class _AnsweredPoll:
    """A request to a source that it answered.

    Attributes
    ----------
    revisions : dict of str to int
        By prefix, the revision that the reply stated.
    """

    source: str
    requested_at_seconds: float
    revisions: dict[str, int]


class PeerFollower:
    """Follows a source in the distribution tree, and enables the service watch if needed.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    replicas : ReplicaSet
        The replicas to keep current.
    watch : ServiceWatch
        Enabled while this daemon has to watch the service itself.
    paces : EnginePaces
        Engines' paces, exchanged with the source in both directions.
    members_prefix : str
        The prefix that contains the membership entries.

    Attributes
    ----------
    selector : SourceSelector
        Selects the source to follow.
    members_read : asyncio.Event
        Set once the members have been read for the first time.
    state_read : asyncio.Event
        Set once the first read of the other prefixes has ended, with or without success.
    """

    __slots__ = (
        "_context",
        "_last_poll",
        "_replicas",
        "_tree_members",
        "_members_prefix",
        "_paces",
        "_polls",
        "_recovered_at_seconds",
        "_tree",
        "_watch",
        "selector",
        "members_read",
        "state_read",
    )

    def __init__(
        self,
        context: GatewayContext,
        replicas: ReplicaSet,
        watch: ServiceWatch,
        paces: EnginePaces,
        members_prefix: str,
    ):
        self._context = context
        self._replicas = replicas
        self._watch = watch
        self._paces = paces
        self._members_prefix = members_prefix
        self._tree_members: list[TreeMember] = []
        self._tree = DistributionTree(())
        self._recovered_at_seconds = float("-inf")
        self._last_poll: _AnsweredPoll | None = None
        self._polls: set[asyncio.Task[None]] = set()
        self.selector = SourceSelector(float("-inf"))
        self.members_read = asyncio.Event()
        self.state_read = asyncio.Event()

    async def run(self) -> None:
        """Follow or watch until cancelled."""
        await self._read_initial_state()
        self.selector.without_source_since_seconds = self._context.now_seconds()
        try:
            while True:
                await self._follow_once()
        finally:
            for poll in self._polls:
                poll.cancel()

    async def _read_initial_state(self) -> None:
        """Read the initial state, which may be stale, since stale reads are cheaper.

        A restarted daemon can thus serve callers at once; it receives later changes from its
        source or its watch.
        """
        await asyncio.gather(self._discover_members(), self._read_other_prefixes())

    async def _read_other_prefixes(self) -> None:
        others = [prefix for prefix in self._replicas.by_prefix if prefix != self._members_prefix]
        await asyncio.gather(*(self._read_stale(prefix) for prefix in others))
        self._context.start_times.record(StartPart.FIRST_READ, self._context.now_seconds())
        self.state_read.set()

    async def _discover_members(self) -> None:
        members = self._context.daemon.membership
        for _ in range(STARTUP_MEMBER_READS):
            await self._read_stale(self._members_prefix)
            self.members_read.set()
            if len(members.live_zones()) > 1:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS * (0.5 + self._context.rng.random()))

    async def _read_stale(self, prefix: str) -> None:
        """Apply a possibly stale snapshot of a prefix, without confirming the replica."""
        read = await self._context.kv.read(prefix, is_prefix=True, may_be_stale=True)
        if not isinstance(read, KvUnavailable):
            self._replicas.apply_snapshot(prefix, read.entries, read.revision)

    async def _follow_once(self) -> None:
        """Select a source and poll it once, or wait if there is none."""
        tree = self._current_tree()
        own = self._context.daemon_name
        sources, level = tree.sources(own), tree.level(own)
        now_seconds = self._context.now_seconds()
        self._retry_sources_after_outage()
        if self.selector.source not in sources:
            self.selector.stop_following(now_seconds)
        must_watch = self.selector.must_watch(sources, level, now_seconds)
        self._watch.set_enabled(must_watch, is_root=not sources)
        name = self.selector.next_source(sources, now_seconds)
        if name is None:
            await self._replicas.wait_for_update(now_seconds + POLL_INTERVAL_SECONDS)
        else:
            await self._poll_until_silent(name, level)

    async def _poll_until_silent(self, name: str, level: int) -> None:
        """Poll a source; stop waiting for it once it is late, but use its answer if it comes.

        A daemon without complete replicas waits until the time-out: its sources may be starting as
        well, and hold its request until they have something to send.
        """
        if not self._replicas.is_complete:
            await self.poll_source(name, level)
            return
        hold_seconds = self._hold_seconds(name, level)
        poll = asyncio.create_task(self.poll_source(name, level))
        self._polls.add(poll)
        poll.add_done_callback(self._polls.discard)
        await asyncio.wait({poll}, timeout=hold_seconds + FOLLOW_HEDGE_SECONDS)
        if poll.done():
            poll.result()
            return
        retry_at_seconds = self._context.now_seconds() + FOLLOW_SLACK_SECONDS - FOLLOW_HEDGE_SECONDS
        self.selector.record_silence(name, self._context.now_seconds(), retry_at_seconds)
        self._context.daemon.links.record_silence(name)

    def _hold_seconds(self, name: str, level: int) -> float:
        """Return for how long a source may hold a request open.

        A source that is followed answers at the latest when its data may have become too old.
        """
        if name != self.selector.source:
            return 0.0
        age_seconds = self._context.now_seconds() - self._replicas.oldest_confirmed_at_seconds()
        fresh_seconds = max_age_seconds(level) - age_seconds
        return min(FOLLOW_WAIT_SECONDS, max(MIN_FOLLOW_WAIT_SECONDS, fresh_seconds))

    def _retry_sources_after_outage(self) -> None:
        """Clear the cooldowns of all sources once the service is reachable again.

        Otherwise, after an outage of the whole fleet, every daemon would watch the service itself
        until its sources' cooldowns end, at a time of many changes.
        """
        back_seconds = self._context.store_reachability.recovered_at_seconds
        if back_seconds > self._recovered_at_seconds:
            self._recovered_at_seconds = back_seconds
            self.selector.clear_cooldowns()

    def _current_tree(self) -> DistributionTree:
        """Return the tree of the present members; a restarted one may have other limits."""
        capacities = self._context.placing_capacities()
        members = [
            TreeMember(name, zone, capacities[name], self._tree_region(zone))
            for name, zone in self._context.daemon.membership.live_zones()
        ]
        if members != self._tree_members:
            self._tree_members = members
            self._tree = DistributionTree(members)
        return self._tree

    def _tree_region(self, zone: str) -> str:
        """Return the region of a zone in the tree; empty without several regions."""
        regions = self._context.regions
        return regions.region(zone) if regions.has_regions else ""

    async def poll_source(self, name: str, level: int) -> None:
        """Request changes from another daemon and record the outcome.

        The source that is followed already holds the request open; a new one replies at once.
        """
        peer = self._context.daemon.membership.address(name)
        if peer is None:
            self._record_follow_failure(self.selector.record_failure, name, "no address")
            return
        wait_seconds = self._hold_seconds(name, level)
        requested_at_seconds = self._context.now_seconds()
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.Follow,
            self._request(wait_seconds),
            wait_seconds + FOLLOW_SLACK_SECONDS,
            GatewayPeersStub,
        )
        now_seconds = self._context.now_seconds()
        if not isinstance(reply, PeerUnreachable):
            round_trip_seconds = now_seconds - requested_at_seconds - reply.held_ms / 1000
            self._context.record_round_trip(peer.zone, round_trip_seconds)
        if isinstance(reply, PeerUnreachable):
            self._record_follow_failure(self.selector.record_failure, name, reply.detail)
        elif reply.refused or len(reply.news) < len(self._replicas.by_prefix):
            self.selector.record_not_ready(name, now_seconds)
        elif self._apply_reply(reply, name, requested_at_seconds, now_seconds) > max_age_seconds(
            level
        ):
            self._record_follow_failure(self._record_stale_source, name, "not fresh")
        elif reply.cut_off:
            self._record_follow_failure(self._record_stale_source, name, "cut off from the service")
        elif self.selector.record_success(name):
            self._context.log.write(ReplicationStarted(daemon_followed=name))

    def _record_stale_source(self, name: str, now_seconds: float) -> None:
        """Start the cooldown of a stale source: a short one soon after an outage."""
        if now_seconds < self._recovered_at_seconds + RECOVERY_WINDOW_SECONDS:
            self.selector.record_not_ready(name, now_seconds)
        else:
            self.selector.record_stale(name, now_seconds)

    def _request(self, wait_seconds: float) -> pb.FollowRequest:
        positions = [
            pb.CopyPosition(prefix=replica.prefix, revision=replica.revision)
            for replica in self._replicas.by_prefix.values()
        ]
        wait_ms = round(wait_seconds * 1000)
        paces = paces_to_send(self._context, self._paces)
        return pb.FollowRequest(positions=positions, wait_ms=wait_ms, paces=paces)

    def _record_follow_failure(
        self, record_failure: Callable[[str, float], None], name: str, reason: str
    ) -> None:
        """Record that a daemon cannot be followed, and log why."""
        record_failure(name, self._context.now_seconds())
        self._context.log.write(ReplicationRefused(daemon_asked=name, reason=reason))

    def _apply_reply(
        self,
        reply: pb.FollowReply,
        source: str,
        requested_at_seconds: float,
        now_seconds: float,
    ) -> float:
        """Apply a reply; return the age (seconds) of its oldest confirmation by the service.

        The age includes the time in transit: the duration of the call less the time for which the
        other daemon held the request. Otherwise replicas would seem fresher after each hop.
        """
        transit_seconds = max(0.0, now_seconds - requested_at_seconds - reply.held_ms / 1000)
        oldest_seconds = 0.0
        for message in reply.news:
            replica = self._replicas.by_prefix.get(message.prefix)
            if replica is None:
                continue
            if message.revision > replica.revision:
                self._apply_prefix_changes(message, source)
            age_seconds = message.age_ms / 1000 + transit_seconds
            # After this daemon has watched the service itself, the source's revision may be older
            # than this replica's for a moment; the source's age counts nevertheless.
            oldest_seconds = max(oldest_seconds, age_seconds)
            if message.revision >= replica.revision:
                self._replicas.confirm(message.prefix, now_seconds - age_seconds)
        revisions = {news.prefix: news.revision for news in reply.news}
        poll = _AnsweredPoll(source, requested_at_seconds, revisions)
        if self._context.policy.calls_through_peers:
            contact_seconds = max(now_seconds - oldest_seconds, self._changed_after_seconds(poll))
            self._context.store_reachability.record_peer_contact(contact_seconds, now_seconds)
        self._last_poll = poll
        self._paces.record_peer_paces(reply.paces, now_seconds)
        return oldest_seconds

    def _changed_after_seconds(self, poll: _AnsweredPoll) -> float:
        """Return a time after which the service sent changes to the source; -inf if unknown.

        The age of a confirmation also counts a pause of the source before it answers. But the root
        of the tree watches the service itself: changes that it lacked in its last reply were sent
        after that reply, and thus after the poll that it answers.
        """
        last_poll = self._last_poll
        root = self._current_tree().root
        if last_poll is None or last_poll.source != poll.source or poll.source != root:
            return float("-inf")
        has_changed = any(
            revision > last_poll.revisions.get(prefix, revision)
            for prefix, revision in poll.revisions.items()
        )
        return last_poll.requested_at_seconds if has_changed else float("-inf")

    def _apply_prefix_changes(self, message: pb.CopyNews, source: str) -> None:
        changes = decode_changes(message)
        if message.whole:
            self._replicas.apply_snapshot(message.prefix, changes.entries, message.revision, source)
        else:
            self._replicas.apply_changes(message.prefix, changes, source)
