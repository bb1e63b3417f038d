"""Failure detection between daemons.

Each period a daemon sends a heartbeat to one member, in shuffled rounds that
reach every member. Without an answer it asks a few other members to probe the
member, which tells a failed link from a failed process. If that fails too, the
member is suspected, and after a timeout it is declared dead. A suspected member
that receives the suspicion refutes it with a higher incarnation. Heartbeats
carry a bounded number of updates, so the load on a daemon does not depend on
the size of the fleet.

References
----------
The scheme follows "SWIM: Scalable Weakly-consistent Infection-style Process
Group Membership Protocol" (Das, Gupta, Motivala; DSN 2002).
"""

import math
import random
from dataclasses import dataclass, field
from enum import IntEnum

__all__ = ["Member", "MemberState", "MemberUpdate", "Membership", "VmEntry"]

UPDATES_PER_MESSAGE = 6
SUSPECT_PERIODS = 4
REMOVE_DEAD_PERIODS = 60


class MemberState(IntEnum):
    """Estimated state of a daemon, in rising precedence at equal incarnation."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEAVING = 4


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A daemon's entry in the platform's VM list."""

    daemon: str
    host: str
    peer_port: int
    zone: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State of a member, as carried by heartbeats."""

    daemon: str
    host: str
    peer_port: int
    zone: str
    incarnation: int
    state: MemberState


@dataclass(slots=True)
class Member:
    """This daemon's estimate of another one."""

    update: MemberUpdate
    changed_at_seconds: float
    remaining_sends: int = 0


@dataclass(slots=True)
class Membership:
    """One daemon's view of the fleet.

    Parameters
    ----------
    own : MemberUpdate
        This daemon's own state; the incarnation is its start time.
    period_seconds : float
        Time between heartbeats.
    rng : random.Random
        Random source for rounds and helpers.

    Attributes
    ----------
    listed_live : bool
        Whether the platform's list has shown this VM as live. Until then an entry that says
        that the VM is leaving is about an earlier VM of the same name.
    """

    own: MemberUpdate
    period_seconds: float
    rng: random.Random
    members: dict[str, Member] = field(default_factory=dict)
    listed_live: bool = False
    _heartbeat_round: list[str] = field(default_factory=list)

    def live(self) -> list[str]:
        """Return the daemons estimated to accept work, including this one unless it is leaving."""
        names = [name for name, m in self.members.items() if m.update.state <= MemberState.SUSPECT]
        if self.own.state == MemberState.ALIVE:
            names.append(self.own.daemon)
        return sorted(names)

    def reachable_peers(self) -> list[str]:
        """Return the other daemons whose process is estimated to run, including leaving ones."""
        states = {name: member.update.state for name, member in self.members.items()}
        return sorted(name for name, state in states.items() if state != MemberState.DEAD)

    def live_zones(self) -> list[tuple[str, str]]:
        """Return (daemon, zone) of the daemons estimated to be live."""
        zones = {name: member.update.zone for name, member in self.members.items()}
        zones[self.own.daemon] = self.own.zone
        return [(name, zones[name]) for name in self.live()]

    def address(self, daemon: str) -> MemberUpdate | None:
        """Return the last known state of a daemon, which holds its address."""
        member = self.members.get(daemon)
        return member.update if member is not None else None

    def is_gone(self, peer: MemberUpdate) -> bool:
        """Return whether the process described by `peer` has ended, as far as is known.

        A leaving process still finishes its work.
        """
        member = self.members.get(peer.daemon)
        if member is None or member.update.state == MemberState.DEAD:
            return True
        return member.update.incarnation > peer.incarnation

    def update_from_vm_list(self, entries: list[VmEntry], now_seconds: float) -> None:
        """Update the members from the platform's list: new daemons and those that are leaving.

        The list lags, so it does not revive a daemon that failed to answer heartbeats.
        """
        for entry in entries:
            if entry.daemon == self.own.daemon:
                if not entry.leaving:
                    self.listed_live = True
                elif self.listed_live:
                    self.leave()
                continue
            known = self.members.get(entry.daemon)
            if known is None:
                state = MemberState.LEAVING if entry.leaving else MemberState.ALIVE
                update = MemberUpdate(
                    entry.daemon, entry.host, entry.peer_port, entry.zone, 0, state
                )
                self.members[entry.daemon] = Member(update, now_seconds)
            elif entry.leaving and known.update.state != MemberState.LEAVING:
                self._set_state(known, MemberState.LEAVING, now_seconds)

    def update_from_complete_list(self, entries: list[VmEntry], now_seconds: float) -> None:
        """Update the members from a complete list; daemons that are not on it are removed.

        For platforms that remove the entry of a daemon that died, so that no heartbeats
        between daemons are needed.
        """
        listed = {entry.daemon for entry in entries}
        staying = {entry.daemon for entry in entries if not entry.leaving}
        for name, member in list(self.members.items()):
            # A leaving daemon that is listed as live again is a new process.
            restarted = member.update.state == MemberState.LEAVING and name in staying
            if name not in listed or restarted:
                del self.members[name]
        self.update_from_vm_list(entries, now_seconds)

    def is_leaving(self, daemon: str) -> bool:
        """Return whether a daemon is known to be stopping as planned."""
        member = self.members.get(daemon)
        return member is not None and member.update.state == MemberState.LEAVING

    def next_heartbeat_peer(self) -> str | None:
        """Return the member to send the next heartbeat to."""
        while True:
            if not self._heartbeat_round:
                self._heartbeat_round = [
                    name
                    for name, member in self.members.items()
                    if member.update.state != MemberState.DEAD
                ]
                self.rng.shuffle(self._heartbeat_round)
            if not self._heartbeat_round:
                return None
            name = self._heartbeat_round.pop()
            member = self.members.get(name)
            if member is not None and member.update.state != MemberState.DEAD:
                return name

    def choose_probe_helpers(self, peer: str, count: int) -> list[str]:
        """Return random members that this daemon may ask to probe `peer`."""
        others = [name for name in self.live() if name not in (peer, self.own.daemon)]
        return self.rng.sample(others, min(count, len(others)))

    def record_answer(self, daemon: str, now_seconds: float) -> None:
        """Record that a member answered, directly or through a helper."""
        member = self.members.get(daemon)
        if member is not None and member.update.state == MemberState.SUSPECT:
            self._set_state(member, MemberState.ALIVE, now_seconds)

    def record_no_answer(self, daemon: str, now_seconds: float) -> None:
        """Record that neither the member nor a helper's probe was answered."""
        member = self.members.get(daemon)
        if member is not None and member.update.state == MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT, now_seconds)

    def tick(self, now_seconds: float) -> None:
        """Declare members dead whose suspicion timed out, and remove members that died long ago."""
        for name, member in list(self.members.items()):
            age_seconds = now_seconds - member.changed_at_seconds
            state = member.update.state
            if state == MemberState.SUSPECT and age_seconds > self._suspicion_seconds():
                self._set_state(member, MemberState.DEAD, now_seconds)
            elif state == MemberState.DEAD and (
                age_seconds > REMOVE_DEAD_PERIODS * self.period_seconds
            ):
                del self.members[name]

    def leave(self) -> None:
        """Set this daemon's own state to leaving."""
        self.own = _with_state(self.own, MemberState.LEAVING)

    def merge(self, update: MemberUpdate, now_seconds: float) -> None:
        """Apply an update; the higher incarnation wins, then the higher state."""
        if update.daemon == self.own.daemon:
            self._refute_suspicion(update)
            return
        known = self.members.get(update.daemon)
        if known is None:
            if update.state != MemberState.DEAD:
                self.members[update.daemon] = Member(update, now_seconds, self._sends_per_update())
            return
        current = known.update
        if (update.incarnation, update.state) > (current.incarnation, current.state):
            known.update = update
            known.changed_at_seconds = now_seconds
            known.remaining_sends = self._sends_per_update()

    def updates_to_send(self) -> list[MemberUpdate]:
        """Return the updates for the next message: this daemon's, then the least sent ones."""
        pending = [member for member in self.members.values() if member.remaining_sends > 0]
        # Failures go first: in a starting fleet they would otherwise wait behind many
        # updates of live members.
        pending.sort(
            key=lambda member: (member.update.state == MemberState.ALIVE, -member.remaining_sends)
        )
        chosen = pending[: UPDATES_PER_MESSAGE - 1]
        for member in chosen:
            member.remaining_sends -= 1
        return [self.own, *(member.update for member in chosen)]

    def _refute_suspicion(self, update: MemberUpdate) -> None:
        contradicts_own_state = (
            update.state != MemberState.ALIVE and self.own.state == MemberState.ALIVE
        )
        if contradicts_own_state and update.incarnation >= self.own.incarnation:
            self.own = _with_state(self.own, self.own.state, update.incarnation + 1)

    def _set_state(self, member: Member, state: MemberState, now_seconds: float) -> None:
        member.update = _with_state(member.update, state)
        member.changed_at_seconds = now_seconds
        member.remaining_sends = self._sends_per_update()

    def _sends_per_update(self) -> int:
        return 3 * math.ceil(math.log2(len(self.members) + 2))

    def _suspicion_seconds(self) -> float:
        scale = max(1.0, math.log10(len(self.members) + 1))
        return SUSPECT_PERIODS * scale * self.period_seconds


def _with_state(
    update: MemberUpdate, state: MemberState, incarnation: int | None = None
) -> MemberUpdate:
    return MemberUpdate(
        update.daemon,
        update.host,
        update.peer_port,
        update.zone,
        update.incarnation if incarnation is None else incarnation,
        state,
    )
