"""The parts of a limit in use never sum to more than the limit."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from rackswitch.limits import LOAN_LIFE_SECONDS, RateLimit, ShareLedger

LIMIT = 90.0
DAEMONS = 4
INDEX = st.integers(0, DAEMONS - 1)


class Shares(RuleBasedStateMachine):
    """Daemons announce, lend over a slow and lossy network, and pause."""

    def __init__(self):
        super().__init__()
        self.now_seconds = 0.0
        self.books = [ShareLedger(LIMIT / DAEMONS) for _ in range(DAEMONS)]
        self.sequence = 0
        self.announcements = []
        self.loans = []

    @rule(seconds=st.floats(0.01, 5.0))
    def wait(self, seconds):
        self.now_seconds += seconds

    @rule(index=INDEX)
    def announce(self, index):
        self.sequence += 1
        self.books[index].announce(self.sequence, self.now_seconds)
        self.announcements.append((index, self.sequence))

    @rule(lender=INDEX, wanted=st.floats(0.1, LIMIT), data=st.data())
    def lend(self, lender, wanted, data):
        if not self.announcements:
            return
        borrower, sequence = data.draw(st.sampled_from(self.announcements))
        loan = self.books[lender].lend(wanted, 0.0, self.now_seconds)
        if loan is not None and borrower != lender:
            self.loans.append((borrower, lender, loan, sequence))

    @rule(data=st.data())
    def deliver(self, data):
        """A loan arrives, maybe late, maybe again."""
        if self.loans:
            borrower, lender, loan, sequence = data.draw(st.sampled_from(self.loans))
            self.receive(self.books[borrower], lender, loan, sequence)

    def receive(self, book, lender, loan, sequence):
        book.borrow(str(lender), loan.loan_id, loan.units, sequence, self.now_seconds)

    @invariant()
    def never_more_than_the_limit(self):
        used = sum(book.available_units(self.now_seconds) for book in self.books)
        assert used <= LIMIT + 1e-6


class NaiveShares(Shares):
    """Counts a loan's life from its receipt."""

    def receive(self, book, lender, loan, sequence):
        self.sequence += 1
        book.announce(self.sequence, self.now_seconds)
        book.borrow(str(lender), loan.loan_id, loan.units, self.sequence, self.now_seconds)


TestShares = Shares.TestCase


def test_counting_from_receipt_exceeds_the_limit():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveShares)


def test_loans_follow_demand_and_come_back():
    idle, busy = ShareLedger(10.0), ShareLedger(10.0)
    busy.announce(1, 0.0)
    loan = idle.lend(100.0, 0.0, 1.0)
    assert busy.borrow("idle", loan.loan_id, loan.units, 1, 1.1)
    assert busy.available_units(1.2) == pytest.approx(19.5)
    assert idle.available_units(1.2) == pytest.approx(0.5)
    assert busy.available_units(LOAN_LIFE_SECONDS + 0.1) == pytest.approx(10.0)
    assert idle.available_units(LOAN_LIFE_SECONDS + 2.0) == pytest.approx(10.0)


def test_rate_limit_lets_through_its_rate():
    rng = random.Random(1)
    limit = RateLimit(ShareLedger(20.0))
    now_seconds, passed = 0.0, 0
    while now_seconds < 30.0:
        now_seconds += rng.expovariate(100.0)
        passed += limit.try_take(now_seconds) is None
    assert 20 * 29 <= passed <= 20 * 31 + 1
