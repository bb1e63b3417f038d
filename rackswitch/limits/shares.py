"""Shares of a limit: a base part for each daemon, and loans between them.

A limit is divided into `daemon_slots` equal base parts. A daemon that needs
more announces it on its heartbeats; one that has spare lends to it. The
lender gives its part up before the loan is sent. The borrower counts the
loan's life from its own announcement that the loan answers, which lies before
the loan was made; the lender counts the same life from the making, plus a
margin. So a loan always ends first at the borrower, however late a message is
or however long a process was paused, and no clocks are compared. The parts in
use never sum to more than the limit; a lost loan wastes its units for the
length of one loan.
"""

from dataclasses import dataclass, field

from rackswitch.outcomes import check_invariant

__all__ = ["LOAN_LIFE_SECONDS", "LentShare", "ShareLedger"]

LOAN_LIFE_SECONDS = 6.0
LOAN_MARGIN_SECONDS = 0.5
KEEP_SHARE = 0.05
"""Part of its base that a daemon never lends, for its own next requests."""

UNITS_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class LentShare:
    """Units of a limit lent from one daemon to another until a deadline."""

    loan_id: int
    units: float
    deadline_seconds: float


@dataclass(slots=True)
class ShareLedger:
    """One daemon's part of one limit, in the limit's own unit.

    Attributes
    ----------
    base_units : float
        This daemon's part before loans: limit / daemon_slots.
    """

    base_units: float
    lent: list[LentShare] = field(default_factory=list)
    borrowed: dict[tuple[str, int], LentShare] = field(default_factory=dict)
    announced_at_seconds: dict[int, float] = field(default_factory=dict)
    _next_loan: int = 1

    def available_units(self, now_seconds: float) -> float:
        """Return the units this daemon may use now."""
        self._drop_ended(now_seconds)
        lent_units = sum(loan.units for loan in self.lent)
        borrowed_units = sum(loan.units for loan in self.borrowed.values())
        return max(0.0, self.base_units - lent_units) + borrowed_units

    def lend(self, wanted_units: float, used_units: float, now_seconds: float) -> LentShare | None:
        """Give up spare base units for the time of one loan.

        Parameters
        ----------
        wanted_units : float
            What the borrower misses.
        used_units : float
            What this daemon's own demand needs.
        now_seconds : float
            Monotonic clock.

        Returns
        -------
        LentShare or None
            The loan as the lender counts it; the borrower's copy ends earlier by the
            margin. None if there is nothing to spare.
        """
        self._drop_ended(now_seconds)
        lent_units = sum(loan.units for loan in self.lent)
        kept_units = max(self.base_units * KEEP_SHARE, used_units)
        units = min(wanted_units, self.base_units - lent_units - kept_units)
        if units <= UNITS_TOLERANCE:
            return None
        deadline_seconds = now_seconds + LOAN_LIFE_SECONDS + LOAN_MARGIN_SECONDS
        loan = LentShare(self._next_loan, units, deadline_seconds)
        self._next_loan += 1
        self.lent.append(loan)
        total = sum(each.units for each in self.lent)
        check_invariant(total <= self.base_units + UNITS_TOLERANCE, "lends only its own base")
        return loan

    def announce(self, sequence: int, now_seconds: float) -> None:
        """Note that this daemon announces, with a number of its own, that it misses units."""
        self.announced_at_seconds[sequence] = now_seconds

    def borrow(
        self, lender: str, loan_id: int, units: float, sequence: int, now_seconds: float
    ) -> bool:
        """Take a loan that answers an announcement; a repeated message counts once.

        Returns
        -------
        bool
            False if the announcement is not known or too old.
        """
        self._drop_ended(now_seconds)
        announced_at_seconds = self.announced_at_seconds.get(sequence)
        if announced_at_seconds is None:
            return False
        deadline_seconds = announced_at_seconds + LOAN_LIFE_SECONDS
        if now_seconds >= deadline_seconds:
            return False
        loan = LentShare(loan_id, units, deadline_seconds)
        self.borrowed.setdefault((lender, loan_id), loan)
        return True

    def resize(self, base_units: float) -> None:
        """Follow an edit of the limit; what is lent comes back as the loans end."""
        self.base_units = base_units

    def _drop_ended(self, now_seconds: float) -> None:
        self.lent = [loan for loan in self.lent if now_seconds < loan.deadline_seconds]
        for key, loan in list(self.borrowed.items()):
            if now_seconds >= loan.deadline_seconds:
                del self.borrowed[key]
        for sequence, at_seconds in list(self.announced_at_seconds.items()):
            if now_seconds >= at_seconds + LOAN_LIFE_SECONDS:
                del self.announced_at_seconds[sequence]
