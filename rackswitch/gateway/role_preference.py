"""Which daemon should take a vacant role."""

from collections.abc import Callable

from rackswitch.gateway.context import GatewayContext
from rackswitch.leases import reserved_until_seconds

__all__ = ["RolePreference", "RoleTurns"]


class RoleTurns:
    """The last turn of each role of one kind.

    Parameters
    ----------
    last_holder : callable
        Returns the last daemon that acted in a role, or None.
    turn_ends_seconds : callable
        Returns when another daemon than the last holder may act in a role (event loop time).
    """

    __slots__ = ("last_holder", "turn_ends_seconds")

    def __init__(
        self,
        last_holder: Callable[[str], str | None],
        turn_ends_seconds: Callable[[str], float],
    ):
        self.last_holder = last_holder
        self.turn_ends_seconds = turn_ends_seconds


class RolePreference:
    """Prefers the last holder of a role, which need not wait for the end of its own turn.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    kinds : tuple of RoleTurns
        The roles that have a last holder.
    """

    __slots__ = ("_context", "_kinds")

    def __init__(self, context: GatewayContext, kinds: tuple[RoleTurns, ...]):
        self._context = context
        self._kinds = kinds

    def holder(self, role: str) -> str | None:
        """Return the last holder if it is a live member or may return before its turn ends."""
        holder, _ = self._last_turn(role)
        if holder in self._context.daemon.membership.live():
            return holder
        return holder if self._context.now_seconds() < self.reserved_until_seconds(role) else None

    def reserved_until_seconds(self, role: str) -> float:
        """Return until when the other daemons leave a vacant role to its last holder."""
        holder, turn_ends_seconds = self._last_turn(role)
        if holder is None:
            return float("-inf")
        return reserved_until_seconds(turn_ends_seconds, self._started_at_seconds(holder))

    def _last_turn(self, role: str) -> tuple[str | None, float]:
        """Return the last holder of a role and the end of its turn (event loop time)."""
        for kind in self._kinds:
            holder = kind.last_holder(role)
            if holder is not None:
                return holder, kind.turn_ends_seconds(role)
        return None, float("-inf")

    def _started_at_seconds(self, daemon: str) -> float:
        """Return when a daemon's process started (event loop time); -inf if that is unknown."""
        started_at_unix_seconds = self._context.process_start(daemon)
        if started_at_unix_seconds is None:
            return float("-inf")
        age_seconds = self._context.unix_seconds() - started_at_unix_seconds
        return self._context.now_seconds() - age_seconds
