"""Who may hold a role, and until when it may act.

A role is a key in the key-value service, created only where it is absent and
bound to a lease there. The key's creation revision is the fencing number: a
later holder always has a larger one. Three checks keep this safe: the service
gives the key to one daemon; the holder checks its own deadline right before
each effect; and each write of the holder is conditional on the role's key.
"""

import hashlib
from dataclasses import dataclass, field
from enum import Enum

from rackswitch.outcomes import check_invariant

__all__ = [
    "HeldLease",
    "LeaseAction",
    "RoleLease",
    "rank_candidates",
    "reserved_until_seconds",
]

DEADLINE_MARGIN_SHARE = 0.25
"""Part of the TTL that the holder doesn't use, as a margin for clock drift and delay."""

RENEWALS_PER_TTL = 3

PREFERRED_DAEMON_WAIT_SECONDS = 0.8
"""How long the other daemons leave a vacant role to the preferred one; several polls."""

EXTRA_CANDIDATE_DELAY_SECONDS = 1.0
"""Time that a role has to be vacant for each further candidate to try to acquire it. The first ones
acquire it within 0.3 s, or 0.8 s later if another daemon is preferred."""

ACQUIRE_SECONDS = 0.5
"""Time to find a role vacant, to acquire it and to read the last holder's record."""

VACANT_ROLE_POLL_SECONDS = 0.25
"""Poll interval for a vacant role that another daemon should acquire."""


def rank_candidates(role: str, daemons: list[str]) -> list[str]:
    """Order daemons by their priority for a role (rendezvous hashing).

    Parameters
    ----------
    role : str
        The role's name.
    daemons : list of str
        The daemons estimated to be live.

    Returns
    -------
    list of str
        Highest priority first. Roles are spread evenly, and the loss of a daemon moves only its
        own roles.
    """

    def weight(daemon: str) -> bytes:
        return hashlib.blake2b(f"{role}|{daemon}".encode(), digest_size=8).digest()

    return sorted(daemons, key=weight, reverse=True)


def reserved_until_seconds(turn_ends_seconds: float, started_at_seconds: float) -> float:
    """Return until when a vacant role is left to its last holder.

    Before the end of that holder's turn no other daemon could act in the role, so that leaving it
    vacant costs nothing. A holder that has just started again needs a moment to acquire it.

    Parameters
    ----------
    turn_ends_seconds : float
        When another daemon may act in the role (monotonic).
    started_at_seconds : float
        When the last holder's process started (monotonic).
    """
    return max(
        turn_ends_seconds - ACQUIRE_SECONDS, started_at_seconds + PREFERRED_DAEMON_WAIT_SECONDS
    )


class LeaseAction(Enum):
    """What a daemon should do about a role."""

    NOTHING = "nothing"
    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A held role, which allows effects until a deadline (monotonic seconds)."""

    lease_id: int
    fencing: int
    deadline_seconds: float


@dataclass(slots=True)
class RoleLease:
    """One daemon's state of the lease on one role.

    Parameters
    ----------
    role : str
        The role's name.
    daemon : str
        This daemon.
    ttl_seconds : float
        The lease's time to live in the service.
    candidate_count : int
        Number of the highest ranked daemons that try to acquire the role.
    """

    role: str
    daemon: str
    ttl_seconds: float
    candidate_count: int = 2
    held: HeldLease | None = None
    next_try_seconds: float = 0.0
    highest_fencing: int = field(default=0)
    vacant_since_seconds: float | None = None

    def may_act(self, now_seconds: float) -> bool:
        """Return whether an effect is allowed at this moment.

        Call it right before each effect, with the time read after the last `await`.
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
            Daemons estimated to be live; used only to distribute the roles.
        leaving : bool
            Whether this daemon is stopping.
        vacant_seconds : float
            How long the role has been vacant. The longer, the more candidates try to acquire it,
            as the first ones may have failed undetected.

        Returns
        -------
        LeaseAction
            The action to take now.
        """
        if self.held is not None and leaving:
            return LeaseAction.RELEASE
        if now_seconds < self.next_try_seconds:
            return LeaseAction.NOTHING
        if self.held is not None:
            return LeaseAction.RENEW
        if leaving:
            return LeaseAction.NOTHING
        candidate_count = self.candidate_count + int(vacant_seconds / EXTRA_CANDIDATE_DELAY_SECONDS)
        chosen = rank_candidates(self.role, live)[:candidate_count]
        return LeaseAction.ACQUIRE if self.daemon in chosen else LeaseAction.NOTHING

    def may_acquire(
        self,
        now_seconds: float,
        preferred: str | None,
        reserved_until_seconds: float = float("-inf"),
    ) -> bool:
        """Return whether a role that was found vacant may be acquired now.

        Parameters
        ----------
        now_seconds : float
            Monotonic clock.
        preferred : str or None
            The daemon that should hold the role; it may try first.
        reserved_until_seconds : float, optional
            Until when the role is left to the preferred daemon in any case (monotonic).
        """
        if preferred is None or preferred == self.daemon:
            return True
        if self.vacant_since_seconds is None:
            self.vacant_since_seconds = now_seconds
        wait_until_seconds = self.vacant_since_seconds + PREFERRED_DAEMON_WAIT_SECONDS
        if now_seconds >= max(wait_until_seconds, reserved_until_seconds):
            return True
        self.next_try_seconds = max(now_seconds + VACANT_ROLE_POLL_SECONDS, reserved_until_seconds)
        return False

    def record_acquired(self, requested_at_seconds: float, lease_id: int, fencing: int) -> None:
        """Record that the service granted the role, requested at `requested_at_seconds`."""
        check_invariant(fencing > self.highest_fencing, f"fencing number of {self.role} grows")
        self.highest_fencing = fencing
        self.held = HeldLease(lease_id, fencing, self._deadline(requested_at_seconds))
        self.vacant_since_seconds = None
        self.next_try_seconds = requested_at_seconds + self.ttl_seconds / RENEWALS_PER_TTL

    def record_renewal(self, requested_at_seconds: float) -> None:
        """Record that the service renewed the lease, requested at `requested_at_seconds`."""
        if self.held is None:
            return
        deadline_seconds = max(self.held.deadline_seconds, self._deadline(requested_at_seconds))
        self.held = HeldLease(self.held.lease_id, self.held.fencing, deadline_seconds)
        self.next_try_seconds = requested_at_seconds + self.ttl_seconds / RENEWALS_PER_TTL

    def record_loss(self, now_seconds: float, jitter: float) -> None:
        """Record that the role was lost or not granted.

        Parameters
        ----------
        now_seconds : float
            Monotonic clock.
        jitter : float
            A random number in [0, 1) that spreads the retries after an outage.
        """
        self.held = None
        self.vacant_since_seconds = None
        self.next_try_seconds = now_seconds + self.ttl_seconds * (0.2 + 0.3 * jitter)

    def record_no_answer(self, now_seconds: float, jitter: float) -> None:
        """Record that the service did not answer; a held role stays valid until its deadline."""
        if self.held is not None and not self.may_act(now_seconds):
            self.held = None
        self.next_try_seconds = now_seconds + self.ttl_seconds * (0.1 + 0.2 * jitter)

    def _deadline(self, requested_at_seconds: float) -> float:
        return requested_at_seconds + self.ttl_seconds * (1 - DEADLINE_MARGIN_SHARE)
