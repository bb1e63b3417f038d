"""Heartbeats between daemons and the news that rides on them."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from rackswitch.clients.vm_list import VmList, VmListClient
from rackswitch.daemon.context import DaemonContext
from rackswitch.membership import MemberState, MemberUpdate
from rackswitch.peers import peers_pb2 as pb
from rackswitch.peers.links import PeerUnreachable

__all__ = ["Heartbeats", "HungerNews"]

HEARTBEAT_TIMEOUT_SHARE = 0.5
HELPERS = 3
ANNOUNCE_FANOUT = 3
MAX_HUNGERS = 8
HUNGER_LIFE_SECONDS = 3.0
LEAVING_PER_MESSAGE = 8
VM_LIST_SECONDS = 1.0
VM_LIST_REPAIR_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class HungerNews:
    """A daemon misses units of a limit; good until a deadline."""

    daemon: str
    limit: str
    missing_units: float
    sequence: int
    deadline_seconds: float


@dataclass(slots=True)
class Heartbeats:
    """Sends heartbeats, answers them, and keeps the soft state that they spread.

    Attributes
    ----------
    leaving_targets : dict
        Targets whose VM the platform reports as leaving, with how often each is still
        to be passed on.
    heard_table : callable
        Told of the table revision that a peer has, and how old its confirmation is.
    is_watcher : callable
        Whether this daemon reads the platform's lists on behalf of its zone.
    """

    context: DaemonContext
    vm_list: VmListClient
    heard_table: Callable[[MemberUpdate, int, float], Coroutine[Any, Any, None]]
    confirmation_age_seconds: Callable[[], float]
    is_watcher: Callable[[], bool]
    hungers: dict[tuple[str, str], HungerNews] = field(default_factory=dict)
    leaving_targets: dict[str, int] = field(default_factory=dict)
    heard_sequences: dict[tuple[str, str], int] = field(default_factory=dict)
    next_vm_list_seconds: float = 0.0

    async def run(self) -> None:
        """Send one heartbeat a period."""
        period_seconds = self.context.settings.heartbeat_seconds
        while True:
            await asyncio.sleep(period_seconds * (0.9 + 0.2 * self.context.rng.random()))
            self.context.spawn(self.beat())
            await self._read_vm_list()

    async def beat(self) -> None:
        """Send one heartbeat, directly and if need be through others."""
        membership = self.context.membership
        membership.tick(self.context.now_seconds())
        target = membership.next_target()
        if target is None:
            return
        if await self.send(target) or await self._ask_helpers(target):
            membership.answered(target, self.context.now_seconds())
        else:
            membership.unanswered(target, self.context.now_seconds())

    async def announce(self) -> None:
        """Tell some peers at once that there is news."""
        live = [
            name for name in self.context.membership.live() if name != self.context.settings.daemon
        ]
        chosen = self.context.rng.sample(live, min(ANNOUNCE_FANOUT, len(live)))
        for name in chosen:
            self.context.spawn(self.send(name))

    async def send(self, daemon: str) -> bool:
        """Exchange news with one peer; return whether it answered."""
        peer = self.context.membership.address(daemon)
        if peer is None:
            return False
        timeout_seconds = self.context.settings.heartbeat_seconds * HEARTBEAT_TIMEOUT_SHARE
        reply = await self.context.links.call(
            peer, lambda stub: stub.Heartbeat, self.message(), timeout_seconds
        )
        if isinstance(reply, PeerUnreachable):
            return False
        self._learn(reply)
        await self.heard_table(peer, reply.table_revision, reply.confirmation_age_seconds)
        return True

    def message(self) -> pb.HeartbeatRequest:
        """Return this daemon's news."""
        now_seconds = self.context.now_seconds()
        message = pb.HeartbeatRequest(
            daemon=self.context.settings.daemon,
            table_revision=self.context.view.revision,
            confirmation_age_seconds=self.confirmation_age_seconds(),
            updates=[_to_wire(update) for update in self.context.membership.updates_to_send()],
        )
        for news in self._fresh_hungers(now_seconds):
            message.hungers.add(
                daemon=news.daemon,
                limit=news.limit,
                missing_units=news.missing_units,
                sequence=news.sequence,
            )
        for name in self._leaving_to_send():
            message.leaving_targets.append(name)
        return message

    def reply(self, request: pb.HeartbeatRequest) -> pb.HeartbeatReply:
        """Take in a peer's heartbeat and answer with this daemon's news."""
        self._learn(request)
        own = self.message()
        return pb.HeartbeatReply(
            daemon=own.daemon,
            table_revision=own.table_revision,
            confirmation_age_seconds=own.confirmation_age_seconds,
            updates=own.updates,
            hungers=own.hungers,
        )

    def note_hunger(self, news: HungerNews) -> None:
        """Keep the newest word of a daemon about a limit; old news does not come back."""
        key = (news.daemon, news.limit)
        if self.heard_sequences.get(key, 0) < news.sequence:
            self.heard_sequences[key] = news.sequence
            self.hungers[key] = news

    def note_leaving(self, target: str) -> None:
        """Spread the news that a target's VM is leaving, the first time at once."""
        if target not in self.leaving_targets:
            members = len(self.context.membership.members) + 2
            self.leaving_targets[target] = 3 * members.bit_length()
            self.context.spawn(self.announce())

    def _learn(self, message: pb.HeartbeatRequest | pb.HeartbeatReply) -> None:
        now_seconds = self.context.now_seconds()
        for update in message.updates:
            self.context.membership.merge(_from_wire(update), now_seconds)
        for hunger in message.hungers:
            deadline_seconds = now_seconds + HUNGER_LIFE_SECONDS
            self.note_hunger(
                HungerNews(
                    hunger.daemon,
                    hunger.limit,
                    hunger.missing_units,
                    hunger.sequence,
                    deadline_seconds,
                )
            )
        if isinstance(message, pb.HeartbeatRequest):
            for name in message.leaving_targets:
                self.note_leaving(name)

    def _fresh_hungers(self, now_seconds: float) -> list[HungerNews]:
        for key, news in list(self.hungers.items()):
            if now_seconds >= news.deadline_seconds:
                del self.hungers[key]
        newest = sorted(self.hungers.values(), key=lambda news: -news.deadline_seconds)
        return newest[:MAX_HUNGERS]

    def _leaving_to_send(self) -> list[str]:
        pending = [name for name, sends in self.leaving_targets.items() if sends > 0]
        chosen = pending[:LEAVING_PER_MESSAGE]
        for name in chosen:
            self.leaving_targets[name] -= 1
        return chosen

    async def _ask_helpers(self, target: str) -> bool:
        helpers = self.context.membership.helpers(target, HELPERS)
        answers = await asyncio.gather(*(self._ask_helper(name, target) for name in helpers))
        return any(answers)

    async def _ask_helper(self, helper: str, target: str) -> bool:
        peer = self.context.membership.address(helper)
        if peer is None:
            return False
        reply = await self.context.links.call(
            peer,
            lambda stub: stub.HeartbeatFor,
            pb.HeartbeatForRequest(daemon=target),
            self.context.settings.heartbeat_seconds,
        )
        return not isinstance(reply, PeerUnreachable) and reply.answered

    async def _read_vm_list(self) -> None:
        now_seconds = self.context.now_seconds()
        if now_seconds < self.next_vm_list_seconds:
            return
        seconds = VM_LIST_SECONDS if self.is_watcher() else VM_LIST_REPAIR_SECONDS
        self.next_vm_list_seconds = now_seconds + seconds
        await self.learn_vm_list()

    async def learn_vm_list(self) -> bool:
        """Read the platform's list; return whether it answered."""
        listed = await self.vm_list.read()
        if not isinstance(listed, VmList):
            return False
        self.context.membership.learn_vms(list(listed.daemons), self.context.now_seconds())
        for name in listed.leaving_targets:
            self.note_leaving(name)
        for name in [name for name in self.leaving_targets if name not in listed.leaving_targets]:
            if self.leaving_targets[name] == 0:
                del self.leaving_targets[name]
        return True


def _to_wire(update: MemberUpdate) -> pb.MemberUpdate:
    return pb.MemberUpdate(
        daemon=update.daemon,
        host=update.host,
        peer_port=update.peer_port,
        zone=update.zone,
        incarnation=update.incarnation,
        state=int(update.state),
    )


def _from_wire(update: pb.MemberUpdate) -> MemberUpdate:
    return MemberUpdate(
        update.daemon,
        update.host,
        update.peer_port,
        update.zone,
        update.incarnation,
        MemberState(update.state),
    )
