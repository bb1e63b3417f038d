"""Shares of a limit: equal base shares of the daemons, and loans between daemons.

A limit is divided into `daemon_slots` equal base shares. A daemon that needs
more units announces this in its heartbeats, and a daemon with unused units lends
some of them. The lender stops using the units before it sends the loan. The
borrower counts the loan's lifetime from its own announcement, which precedes the
loan; the lender counts the same lifetime from the loan, plus a margin. So a loan
always ends at the borrower first, even if messages are late or a process was
paused, and no clocks are compared. The shares in use never sum to more than the
limit. If the message of a loan is lost, its units are unused until the loan ends.
"""

from dataclasses import dataclass, field

from rackswitch.outcomes import check_invariant

__all__ = ["LOAN_LIFETIME_SECONDS", "LentShare", "ShareLedger"]

LOAN_LIFETIME_SECONDS = 6.0
LOAN_MARGIN_SECONDS = 0.5
RESERVED_SHARE = 0.05
"""Part of its base share that a daemon never lends, for its own next requests."""

UNITS_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class LentShare:
    """Units of a limit lent from one daemon to another until a deadline."""

    loan_id: int
    units: float
    deadline_seconds: float


@dataclass(slots=True)
class ShareLedger:
    """One daemon's share of one limit, in the unit of the limit.

    Attributes
    ----------
    base_units : float
        This daemon's share without loans: limit / daemon_slots.
    """

    base_units: float
    lent: list[LentShare] = field(default_factory=list)
    borrowed: dict[tuple[str, int], LentShare] = field(default_factory=dict)
    announced_at_seconds: dict[int, float] = field(default_factory=dict)
    _next_loan_id: int = 1

    def available_units(self, now_seconds: float) -> float:
        """Return the units that this daemon may use now."""
        self._remove_expired(now_seconds)
        lent_units = sum(loan.units for loan in self.lent)
        borrowed_units = sum(loan.units for loan in self.borrowed.values())
        return max(0.0, self.base_units - lent_units) + borrowed_units

    def lend(
        self, requested_units: float, used_units: float, now_seconds: float
    ) -> LentShare | None:
        """Lend unused base units for the lifetime of one loan.

        Parameters
        ----------
        requested_units : float
            Units that the borrower needs.
        used_units : float
            Units that this daemon's own demand needs.
        now_seconds : float
            Monotonic clock.

        Returns
        -------
        LentShare or None
            The loan with the lender's deadline; the borrower's is earlier, by at least the
            margin. None if there are no unused units.
        """
        self._remove_expired(now_seconds)
        lent_units = sum(loan.units for loan in self.lent)
        reserved_units = max(self.base_units * RESERVED_SHARE, used_units)
        units = min(requested_units, self.base_units - lent_units - reserved_units)
        if units <= UNITS_TOLERANCE:
            return None
        deadline_seconds = now_seconds + LOAN_LIFETIME_SECONDS + LOAN_MARGIN_SECONDS
        loan = LentShare(self._next_loan_id, units, deadline_seconds)
        self._next_loan_id += 1
        self.lent.append(loan)
        total_lent_units = sum(lent_loan.units for lent_loan in self.lent)
        check_invariant(
            total_lent_units <= self.base_units + UNITS_TOLERANCE,
            "a daemon lends at most its base units",
        )
        return loan

    def announce(self, sequence: int, now_seconds: float) -> None:
        """Record that this daemon announces a need for units, with its own sequence number."""
        self.announced_at_seconds[sequence] = now_seconds

    def borrow(
        self, lender: str, loan_id: int, units: float, sequence: int, now_seconds: float
    ) -> bool:
        """Accept a loan that answers an announcement; a repeated message counts once.

        Returns
        -------
        bool
            False if the announcement is unknown or too old.
        """
        self._remove_expired(now_seconds)
        announced_at_seconds = self.announced_at_seconds.get(sequence)
        if announced_at_seconds is None:
            return False
        deadline_seconds = announced_at_seconds + LOAN_LIFETIME_SECONDS
        if now_seconds >= deadline_seconds:
            return False
        loan = LentShare(loan_id, units, deadline_seconds)
        self.borrowed.setdefault((lender, loan_id), loan)
        return True

    def resize(self, base_units: float) -> None:
        """Set the base share after a change of the limit; loans stay until they end."""
        self.base_units = base_units

    def _remove_expired(self, now_seconds: float) -> None:
        self.lent = [loan for loan in self.lent if now_seconds < loan.deadline_seconds]
        for key, loan in list(self.borrowed.items()):
            if now_seconds >= loan.deadline_seconds:
                del self.borrowed[key]
        for sequence, announced_at_seconds in list(self.announced_at_seconds.items()):
            if now_seconds >= announced_at_seconds + LOAN_LIFETIME_SECONDS:
                del self.announced_at_seconds[sequence]
