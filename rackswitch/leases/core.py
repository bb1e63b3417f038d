"""Who may hold a role, and until when it may act.

A role is a key in the key-value service, created only where it is absent and
bound to a lease there. The key's creation revision is the fencing number: a
later holder always has a larger one. Safety has three layers: the service
gives the key to one daemon; the holder checks its own deadline right before
each effect; and each write of the holder is conditional on the role's key.
"""

import hashlib
from dataclasses import dataclass, field
from enum import Enum

from rackswitch.outcomes import check_invariant

__all__ = ["HeldLease", "LeaseAction", "RoleLease", "rank_candidates"]

DEADLINE_MARGIN_SHARE = 0.25
"""Part of a lease's life that the holder gives away, for clock drift and delay."""

RENEWALS_PER_LIFE = 3

PREFERENCE_SECONDS = 0.8
"""How long a vacant role is left to the daemon that is preferred: about three of its looks."""

CANDIDATE_PAUSE_SECONDS = 1.0
"""After so long each further candidate tries a vacant role too: the first ones get it within
0.3 s, or 0.8 s later if another daemon is preferred."""

VACANT_LOOK_SECONDS = 0.25
"""Between looks at a vacant role that another daemon should take."""


def rank_candidates(role: str, daemons: list[str]) -> list[str]:
    """Order daemons by their claim to a role (rendezvous hashing).

    Parameters
    ----------
    role : str
        The role's name.
    daemons : list of str
        The daemons believed live.

    Returns
    -------
    list of str
        Best first. Roles spread evenly, and a daemon's death moves only its roles.
    """

    def weight(daemon: str) -> bytes:
        return hashlib.blake2b(f"{role}|{daemon}".encode(), digest_size=8).digest()

    return sorted(daemons, key=weight, reverse=True)


class LeaseAction(Enum):
    """What the daemon should do about a role now."""

    NOTHING = "nothing"
    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A role held: the right to act until a deadline (monotonic seconds)."""

    lease_id: int
    fencing: int
    deadline_seconds: float


@dataclass(slots=True)
class RoleLease:
    """One daemon's side of one role.

    Parameters
    ----------
    role : str
        The role's name.
    daemon : str
        This daemon.
    life_seconds : float
        The lease's time to live in the service.
    candidates : int
        How many of the best ranked daemons try to take the role.
    """

    role: str
    daemon: str
    life_seconds: float
    candidates: int = 2
    held: HeldLease | None = None
    next_try_seconds: float = 0.0
    highest_fencing: int = field(default=0)
    vacant_since_seconds: float | None = None

    def may_act(self, now_seconds: float) -> bool:
        """Return whether an effect is allowed at this moment.

        To be called right before each effect, with a clock read after the last wait.
        """
        return self.held is not None and now_seconds < self.held.deadline_seconds

    def next_action(
        self, now_seconds: float, live: list[str], leaving: bool, vacant_seconds: float = 0.0
    ) -> LeaseAction:
        """Decide what to do about the role.

        Parameters
        ----------
        now_seconds : float
            Monotonic clock.
        live : list of str
            Daemons believed live; soft state, only used to spread the roles.
        leaving : bool
            Whether this daemon is stopping.
        vacant_seconds : float
            How long the role is known to have been vacant: the best candidates may be dead
            although they are believed live, so more of them try in time.

        Returns
        -------
        LeaseAction
            The step to take now.
        """
        if self.held is not None and leaving:
            return LeaseAction.RELEASE
        if now_seconds < self.next_try_seconds:
            return LeaseAction.NOTHING
        if self.held is not None:
            return LeaseAction.RENEW
        if leaving:
            return LeaseAction.NOTHING
        candidates = self.candidates + int(vacant_seconds / CANDIDATE_PAUSE_SECONDS)
        best = rank_candidates(self.role, live)[:candidates]
        return LeaseAction.ACQUIRE if self.daemon in best else LeaseAction.NOTHING

    def may_take(self, now_seconds: float, preferred: str | None) -> bool:
        """Return whether a role that was found vacant may be taken now.

        Parameters
        ----------
        now_seconds : float
            Monotonic clock.
        preferred : str or None
            The daemon that should have it, if it is there; it goes first for a moment.
        """
        if preferred is None or preferred == self.daemon:
            return True
        if self.vacant_since_seconds is None:
            self.vacant_since_seconds = now_seconds
        if now_seconds >= self.vacant_since_seconds + PREFERENCE_SECONDS:
            return True
        self.next_try_seconds = now_seconds + VACANT_LOOK_SECONDS
        return False

    def acquired(self, asked_at_seconds: float, lease_id: int, fencing: int) -> None:
        """Note that the service gave the role, asked for at `asked_at_seconds`."""
        check_invariant(fencing > self.highest_fencing, f"fencing of {self.role} grows")
        self.highest_fencing = fencing
        self.held = HeldLease(lease_id, fencing, self._deadline(asked_at_seconds))
        self.vacant_since_seconds = None
        self.next_try_seconds = asked_at_seconds + self.life_seconds / RENEWALS_PER_LIFE

    def renewed(self, asked_at_seconds: float) -> None:
        """Note that the service prolonged the lease, asked for at `asked_at_seconds`."""
        if self.held is None:
            return
        deadline = max(self.held.deadline_seconds, self._deadline(asked_at_seconds))
        self.held = HeldLease(self.held.lease_id, self.held.fencing, deadline)
        self.next_try_seconds = asked_at_seconds + self.life_seconds / RENEWALS_PER_LIFE

    def lost(self, now_seconds: float, jitter: float) -> None:
        """Note that the role is gone, or was not given.

        Parameters
        ----------
        now_seconds : float
            Monotonic clock.
        jitter : float
            A random number in [0, 1); spreads the tries after an outage.
        """
        self.held = None
        self.vacant_since_seconds = None
        self.next_try_seconds = now_seconds + self.life_seconds * (0.2 + 0.3 * jitter)

    def unanswered(self, now_seconds: float, jitter: float) -> None:
        """Note that the service did not answer; what is held stays until its deadline."""
        if self.held is not None and not self.may_act(now_seconds):
            self.held = None
        self.next_try_seconds = now_seconds + self.life_seconds * (0.1 + 0.2 * jitter)

    def _deadline(self, asked_at_seconds: float) -> float:
        return asked_at_seconds + self.life_seconds * (1 - DEADLINE_MARGIN_SHARE)
