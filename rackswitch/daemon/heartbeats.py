"""Heartbeats between daemons and the updates that they carry."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from rackswitch.clients.vm_list import VmList, VmListClient
from rackswitch.daemon.context import DaemonContext
from rackswitch.membership import MemberState, MemberUpdate
from rackswitch.peers import peers_pb2 as pb
from rackswitch.peers.links import PeerUnreachable

__all__ = ["Heartbeats", "LimitShortage"]

HEARTBEAT_TIMEOUT_FRACTION = 0.5
MAX_HELPERS = 3
ANNOUNCE_FANOUT = 3
MAX_SHORTAGES_PER_MESSAGE = 8
SHORTAGE_TTL_SECONDS = 3.0
MAX_LEAVING_TARGETS_PER_MESSAGE = 8
VM_LIST_INTERVAL_SECONDS = 1.0
VM_LIST_FALLBACK_INTERVAL_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class LimitShortage:
    """A daemon lacks units of a limit; the statement expires at a deadline."""

    daemon: str
    limit: str
    missing_units: float
    sequence: int
    deadline_seconds: float


@dataclass(slots=True)
class Heartbeats:
    """Sends and answers heartbeats, and stores the soft state that they spread.

    Attributes
    ----------
    leaving_targets : dict
        Targets whose VM the platform reports as leaving, each with the number of messages
        in which it is still sent.
    on_peer_revision : callable
        Called with a peer's table revision and the age of its confirmation.
    is_watcher : callable
        Returns whether this daemon polls the platform's VM list on behalf of its zone.
    """

    context: DaemonContext
    vm_list: VmListClient
    on_peer_revision: Callable[[MemberUpdate, int, float], Coroutine[Any, Any, None]]
    confirmation_age_seconds: Callable[[], float]
    is_watcher: Callable[[], bool]
    shortages: dict[tuple[str, str], LimitShortage] = field(default_factory=dict)
    leaving_targets: dict[str, int] = field(default_factory=dict)
    newest_sequences: dict[tuple[str, str], int] = field(default_factory=dict)
    next_vm_list_read_seconds: float = 0.0

    async def run(self) -> None:
        """Send a heartbeat in each interval and poll the VM list."""
        interval_seconds = self.context.settings.heartbeat_seconds
        while True:
            await asyncio.sleep(interval_seconds * (0.9 + 0.2 * self.context.rng.random()))
            self.context.spawn(self.send_heartbeat())
            await self._read_vm_list()

    async def send_heartbeat(self) -> None:
        """Send one heartbeat, directly or, if that fails, through other daemons."""
        membership = self.context.membership
        membership.tick(self.context.now_seconds())
        daemon = membership.next_heartbeat_peer()
        if daemon is None:
            return
        if await self.send(daemon) or await self._probe_through_helpers(daemon):
            membership.record_answer(daemon, self.context.now_seconds())
        else:
            membership.record_no_answer(daemon, self.context.now_seconds())

    async def announce(self) -> None:
        """Send updates to some peers without waiting for the next heartbeat."""
        live = [
            name for name in self.context.membership.live() if name != self.context.settings.daemon
        ]
        chosen = self.context.rng.sample(live, min(ANNOUNCE_FANOUT, len(live)))
        for name in chosen:
            self.context.spawn(self.send(name))

    async def send(self, daemon: str) -> bool:
        """Exchange heartbeats with one peer; return whether it answered."""
        peer = self.context.membership.address(daemon)
        if peer is None:
            return False
        timeout_seconds = self.context.settings.heartbeat_seconds * HEARTBEAT_TIMEOUT_FRACTION
        reply = await self.context.links.call(
            peer, lambda stub: stub.Heartbeat, self.message(), timeout_seconds
        )
        if isinstance(reply, PeerUnreachable):
            return False
        self._merge_message(reply)
        await self.on_peer_revision(peer, reply.table_revision, reply.confirmation_age_seconds)
        return True

    def message(self) -> pb.HeartbeatRequest:
        """Return this daemon's heartbeat."""
        now_seconds = self.context.now_seconds()
        message = pb.HeartbeatRequest(
            daemon=self.context.settings.daemon,
            table_revision=self.context.view.revision,
            confirmation_age_seconds=self.confirmation_age_seconds(),
            updates=[_to_wire(update) for update in self.context.membership.updates_to_send()],
        )
        for shortage in self._unexpired_shortages(now_seconds):
            message.hungers.add(
                daemon=shortage.daemon,
                limit=shortage.limit,
                missing_units=shortage.missing_units,
                sequence=shortage.sequence,
            )
        for name in self._leaving_targets_to_send():
            message.leaving_targets.append(name)
        return message

    def reply(self, request: pb.HeartbeatRequest) -> pb.HeartbeatReply:
        """Merge a peer's heartbeat and return this daemon's reply."""
        self._merge_message(request)
        own = self.message()
        return pb.HeartbeatReply(
            daemon=own.daemon,
            table_revision=own.table_revision,
            confirmation_age_seconds=own.confirmation_age_seconds,
            updates=own.updates,
            hungers=own.hungers,
        )

    def record_shortage(self, shortage: LimitShortage) -> None:
        """Store a daemon's shortage of a limit, unless a newer one was received before."""
        key = (shortage.daemon, shortage.limit)
        if self.newest_sequences.get(key, 0) < shortage.sequence:
            self.newest_sequences[key] = shortage.sequence
            self.shortages[key] = shortage

    def record_leaving_target(self, target: str) -> None:
        """Spread that a target's VM is leaving; the first time, notify peers at once."""
        if target not in self.leaving_targets:
            member_count = len(self.context.membership.members) + 2
            self.leaving_targets[target] = 3 * member_count.bit_length()
            self.context.spawn(self.announce())

    def _merge_message(self, message: pb.HeartbeatRequest | pb.HeartbeatReply) -> None:
        now_seconds = self.context.now_seconds()
        for update in message.updates:
            self.context.membership.merge(_from_wire(update), now_seconds)
        for received in message.hungers:
            deadline_seconds = now_seconds + SHORTAGE_TTL_SECONDS
            self.record_shortage(
                LimitShortage(
                    received.daemon,
                    received.limit,
                    received.missing_units,
                    received.sequence,
                    deadline_seconds,
                )
            )
        if isinstance(message, pb.HeartbeatRequest):
            for name in message.leaving_targets:
                self.record_leaving_target(name)

    def _unexpired_shortages(self, now_seconds: float) -> list[LimitShortage]:
        for key, shortage in list(self.shortages.items()):
            if now_seconds >= shortage.deadline_seconds:
                del self.shortages[key]
        newest = sorted(self.shortages.values(), key=lambda shortage: -shortage.deadline_seconds)
        return newest[:MAX_SHORTAGES_PER_MESSAGE]

    def _leaving_targets_to_send(self) -> list[str]:
        pending = [
            name for name, remaining_sends in self.leaving_targets.items() if remaining_sends > 0
        ]
        chosen = pending[:MAX_LEAVING_TARGETS_PER_MESSAGE]
        for name in chosen:
            self.leaving_targets[name] -= 1
        return chosen

    async def _probe_through_helpers(self, daemon: str) -> bool:
        helpers = self.context.membership.choose_probe_helpers(daemon, MAX_HELPERS)
        answers = await asyncio.gather(
            *(self._probe_through_helper(name, daemon) for name in helpers)
        )
        return any(answers)

    async def _probe_through_helper(self, helper: str, daemon: str) -> bool:
        peer = self.context.membership.address(helper)
        if peer is None:
            return False
        reply = await self.context.links.call(
            peer,
            lambda stub: stub.HeartbeatFor,
            pb.HeartbeatForRequest(daemon=daemon),
            self.context.settings.heartbeat_seconds,
        )
        return not isinstance(reply, PeerUnreachable) and reply.answered

    async def _read_vm_list(self) -> None:
        now_seconds = self.context.now_seconds()
        if now_seconds < self.next_vm_list_read_seconds:
            return
        interval_seconds = (
            VM_LIST_INTERVAL_SECONDS if self.is_watcher() else VM_LIST_FALLBACK_INTERVAL_SECONDS
        )
        self.next_vm_list_read_seconds = now_seconds + interval_seconds
        await self.refresh_vm_list()

    async def refresh_vm_list(self) -> bool:
        """Read the platform's VM list; return whether the platform answered."""
        listed = await self.vm_list.read()
        if not isinstance(listed, VmList):
            return False
        self.context.membership.update_from_vm_list(
            list(listed.daemons), self.context.now_seconds()
        )
        for name in listed.leaving_targets:
            self.record_leaving_target(name)
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
