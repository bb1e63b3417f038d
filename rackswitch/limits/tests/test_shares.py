"""Guards against shares in use that sum to more than the limit."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from rackswitch.limits import LOAN_LIFETIME_SECONDS, RateLimit, ShareLedger

LIMIT = 90.0
DAEMONS = 4
INDEX = st.integers(0, DAEMONS - 1)


class Shares(RuleBasedStateMachine):
    """Daemons that announce needs and lend units over a slow and lossy network."""

    def __init__(self):
        super().__init__()
        self.now_seconds = 0.0
        self.ledgers = [ShareLedger(LIMIT / DAEMONS) for _ in range(DAEMONS)]
        self.sequence = 0
        self.announcements = []
        self.loans = []

    @rule(seconds=st.floats(0.01, 5.0))
    def advance_time(self, seconds):
        self.now_seconds += seconds

    @rule(index=INDEX)
    def announce(self, index):
        self.sequence += 1
        self.ledgers[index].announce(self.sequence, self.now_seconds)
        self.announcements.append((index, self.sequence))

    @rule(lender=INDEX, wanted_units=st.floats(0.1, LIMIT), data=st.data())
    def lend(self, lender, wanted_units, data):
        if not self.announcements:
            return
        borrower, sequence = data.draw(st.sampled_from(self.announcements))
        loan = self.ledgers[lender].lend(wanted_units, 0.0, self.now_seconds)
        if loan is not None and borrower != lender:
            self.loans.append((borrower, lender, loan, sequence))

    @rule(data=st.data())
    def deliver(self, data):
        """Deliver a loan, possibly late or repeatedly."""
        if self.loans:
            borrower, lender, loan, sequence = data.draw(st.sampled_from(self.loans))
            self.receive(self.ledgers[borrower], lender, loan, sequence)

    def receive(self, ledger, lender, loan, sequence):
        ledger.borrow(str(lender), loan.loan_id, loan.units, sequence, self.now_seconds)

    @invariant()
    def shares_in_use_stay_within_the_limit(self):
        used = sum(ledger.available_units(self.now_seconds) for ledger in self.ledgers)
        assert used <= LIMIT + 1e-6


class NaiveShares(Shares):
    """Counts a loan's lifetime from its receipt."""

    def receive(self, ledger, lender, loan, sequence):
        self.sequence += 1
        ledger.announce(self.sequence, self.now_seconds)
        ledger.borrow(str(lender), loan.loan_id, loan.units, self.sequence, self.now_seconds)


TestShares = Shares.TestCase


def test_a_lifetime_counted_from_receipt_exceeds_the_limit():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveShares)


def test_loaned_units_return_to_the_lender_after_the_loan():
    idle, busy = ShareLedger(10.0), ShareLedger(10.0)
    busy.announce(1, 0.0)
    loan = idle.lend(100.0, 0.0, 1.0)
    assert busy.borrow("idle", loan.loan_id, loan.units, 1, 1.1)
    assert busy.available_units(1.2) == pytest.approx(19.5)
    assert idle.available_units(1.2) == pytest.approx(0.5)
    assert busy.available_units(LOAN_LIFETIME_SECONDS + 0.1) == pytest.approx(10.0)
    assert idle.available_units(LOAN_LIFETIME_SECONDS + 2.0) == pytest.approx(10.0)


def test_a_rate_limit_admits_its_rate():
    rng = random.Random(1)
    limit = RateLimit(ShareLedger(20.0))
    now_seconds, admitted = 0.0, 0
    while now_seconds < 30.0:
        now_seconds += rng.expovariate(100.0)
        admitted += limit.try_take(now_seconds) is None
    assert 20 * 29 <= admitted <= 20 * 31 + 1
