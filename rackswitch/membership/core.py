"""Failure detection between daemons.

Each period a daemon sends a heartbeat to one member, in a shuffled round so
that every member is reached. Without an answer it asks a few others to try
(this tells a one-way cut or a slow link from a death), then suspects the
member, and only after a further wait calls it dead. A suspected member that
hears of it answers with a higher incarnation. News rides on heartbeats, a
bounded number of entries each; so the cost of a daemon is the same at any
fleet size.

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
FORGET_DEAD_PERIODS = 60


class MemberState(IntEnum):
    """What is believed of a daemon, in rising precedence at equal incarnation."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEAVING = 4


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A line of the platform's VM list, as far as it concerns daemons."""

    daemon: str
    host: str
    peer_port: int
    zone: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """News about a member, as carried by heartbeats."""

    daemon: str
    host: str
    peer_port: int
    zone: str
    incarnation: int
    state: MemberState


@dataclass(slots=True)
class Member:
    """What this daemon believes about another."""

    update: MemberUpdate
    changed_at_seconds: float
    remaining_sends: int = 0


@dataclass(slots=True)
class Membership:
    """One daemon's view of the fleet.

    Parameters
    ----------
    own : MemberUpdate
        This daemon, as it presents itself; the incarnation is its start time.
    period_seconds : float
        Time between heartbeats.
    rng : random.Random
        Source of the shuffles.

    Attributes
    ----------
    listed_live : bool
        Whether the platform's list has shown this VM as live; before that its word that
        the VM is leaving is about a predecessor of the same name.
    """

    own: MemberUpdate
    period_seconds: float
    rng: random.Random
    members: dict[str, Member] = field(default_factory=dict)
    listed_live: bool = False
    _round: list[str] = field(default_factory=list)

    def live(self) -> list[str]:
        """Return the daemons believed able to take work, this one included unless leaving."""
        names = [name for name, m in self.members.items() if m.update.state <= MemberState.SUSPECT]
        if self.own.state == MemberState.ALIVE:
            names.append(self.own.daemon)
        return sorted(names)

    def others_reachable(self) -> list[str]:
        """Return the other daemons whose process is believed to run, leaving ones included."""
        states = {name: member.update.state for name, member in self.members.items()}
        return sorted(name for name, state in states.items() if state != MemberState.DEAD)

    def live_zones(self) -> list[tuple[str, str]]:
        """Return (daemon, zone) of the daemons believed live."""
        zones = {name: member.update.zone for name, member in self.members.items()}
        zones[self.own.daemon] = self.own.zone
        return [(name, zones[name]) for name in self.live()]

    def address(self, daemon: str) -> MemberUpdate | None:
        """Return the last known address of a daemon."""
        member = self.members.get(daemon)
        return member.update if member is not None else None

    def is_gone(self, peer: MemberUpdate) -> bool:
        """Return whether the process that was known as `peer` is believed dead.

        One that is leaving still finishes what it has begun.
        """
        member = self.members.get(peer.daemon)
        if member is None or member.update.state == MemberState.DEAD:
            return True
        return member.update.incarnation > peer.incarnation

    def learn_vms(self, entries: list[VmEntry], now_seconds: float) -> None:
        """Take in the platform's list: it introduces daemons and says who is leaving.

        A daemon that heartbeats have shown dead is not revived by the lagging list.
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

    def learn_listed(self, entries: list[VmEntry], now_seconds: float) -> None:
        """Take a list for the whole truth: who is not on it is gone.

        For deployments whose platform drops a daemon's entry when the daemon dies, so that
        no heartbeats between daemons are needed.
        """
        listed = {entry.daemon for entry in entries}
        staying = {entry.daemon for entry in entries if not entry.leaving}
        for name, member in list(self.members.items()):
            # One that was leaving and is not any more is a new process of its daemon.
            returned = member.update.state == MemberState.LEAVING and name in staying
            if name not in listed or returned:
                del self.members[name]
        self.learn_vms(entries, now_seconds)

    def is_leaving(self, daemon: str) -> bool:
        """Return whether a daemon has said that it is stopping as planned."""
        member = self.members.get(daemon)
        return member is not None and member.update.state == MemberState.LEAVING

    def next_target(self) -> str | None:
        """Return the member to send the next heartbeat to."""
        while True:
            if not self._round:
                self._round = [
                    name
                    for name, member in self.members.items()
                    if member.update.state != MemberState.DEAD
                ]
                self.rng.shuffle(self._round)
            if not self._round:
                return None
            name = self._round.pop()
            member = self.members.get(name)
            if member is not None and member.update.state != MemberState.DEAD:
                return name

    def helpers(self, target: str, count: int) -> list[str]:
        """Return members to ask for a heartbeat to `target` on this daemon's behalf."""
        others = [name for name in self.live() if name not in (target, self.own.daemon)]
        return self.rng.sample(others, min(count, len(others)))

    def answered(self, daemon: str, now_seconds: float) -> None:
        """Note that a member answered, directly or through a helper."""
        member = self.members.get(daemon)
        if member is not None and member.update.state == MemberState.SUSPECT:
            self._set_state(member, MemberState.ALIVE, now_seconds)

    def unanswered(self, daemon: str, now_seconds: float) -> None:
        """Note that neither the member nor a helper's try was answered."""
        member = self.members.get(daemon)
        if member is not None and member.update.state == MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT, now_seconds)

    def tick(self, now_seconds: float) -> None:
        """Turn long suspicion into death, and forget the long dead."""
        for name, member in list(self.members.items()):
            age_seconds = now_seconds - member.changed_at_seconds
            state = member.update.state
            if state == MemberState.SUSPECT and age_seconds > self._suspicion_seconds():
                self._set_state(member, MemberState.DEAD, now_seconds)
            elif state == MemberState.DEAD and (
                age_seconds > FORGET_DEAD_PERIODS * self.period_seconds
            ):
                del self.members[name]

    def leave(self) -> None:
        """Present this daemon as leaving from now on."""
        self.own = _with_state(self.own, MemberState.LEAVING)

    def merge(self, update: MemberUpdate, now_seconds: float) -> None:
        """Take in news; higher incarnation wins, then the worse state."""
        if update.daemon == self.own.daemon:
            self._refute(update)
            return
        known = self.members.get(update.daemon)
        if known is None:
            if update.state != MemberState.DEAD:
                self.members[update.daemon] = Member(update, now_seconds, self._sends())
            return
        present = known.update
        if (update.incarnation, update.state) > (present.incarnation, present.state):
            known.update = update
            known.changed_at_seconds = now_seconds
            known.remaining_sends = self._sends()

    def updates_to_send(self) -> list[MemberUpdate]:
        """Return the news for the next message: this daemon, then the least spread."""
        fresh = [member for member in self.members.values() if member.remaining_sends > 0]
        # Bad news goes first: a fleet that starts has much news of the living, behind
        # which the news of a death would wait.
        fresh.sort(
            key=lambda member: (member.update.state == MemberState.ALIVE, -member.remaining_sends)
        )
        chosen = fresh[: UPDATES_PER_MESSAGE - 1]
        for member in chosen:
            member.remaining_sends -= 1
        return [self.own, *(member.update for member in chosen)]

    def _refute(self, update: MemberUpdate) -> None:
        worse = update.state != MemberState.ALIVE and self.own.state == MemberState.ALIVE
        if worse and update.incarnation >= self.own.incarnation:
            self.own = _with_state(self.own, self.own.state, update.incarnation + 1)

    def _set_state(self, member: Member, state: MemberState, now_seconds: float) -> None:
        member.update = _with_state(member.update, state)
        member.changed_at_seconds = now_seconds
        member.remaining_sends = self._sends()

    def _sends(self) -> int:
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
