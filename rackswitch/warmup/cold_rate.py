"""How many daemons send to a cold target, and how often each of them does."""

import math
from dataclasses import dataclass

__all__ = ["ColdTerms", "SendPlan", "plan_sends"]

PLANNED_SHARE = 0.5
"""Share of the bound that one view of the fleet uses, so that two disjoint views keep it."""

SENDS_PER_SENDER = 5
"""Sends of one sender within any second, if the bound allows that many. Fewer would be
rounded down more, more would make the loss of one sender cost more."""

SPACING_FACTOR = 0.92
"""Rate of a sender as a share of its sends within any second. The next send after those of a second
leaves 87 ms after its end, which covers differences in the delay of the network."""


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """The requests that cold targets of a service may receive.

    Attributes
    ----------
    requests_per_second : float
        Rate that a cold target carries; 0 if it is unlimited.
    rate_factor, rate_slack : float
        The requests that arrive within any one second are at most the rate times the factor plus
        the slack.
    """

    requests_per_second: float
    rate_factor: float = 1.0
    rate_slack: float = 0.0

    @property
    def max_per_second(self) -> float:
        """Maximum number of requests that may arrive within any one second."""
        if self.requests_per_second <= 0:
            return math.inf
        return self.requests_per_second * self.rate_factor + self.rate_slack


@dataclass(frozen=True, slots=True)
class SendPlan:
    """The sends of one kind of work to one cold target.

    Attributes
    ----------
    sender_count : int
        Daemons that may send.
    interval_seconds : float
        Minimum time between two sends of one of them.
    """

    sender_count: int
    interval_seconds: float

    @property
    def requests_per_second(self) -> float:
        """Steady rate of all senders together."""
        return self.sender_count / self.interval_seconds


def plan_sends(
    terms: ColdTerms, kind_count: int = 1, candidate_count: int | None = None
) -> SendPlan | None:
    """Return the senders and the interval for one kind of work; None if it is unlimited.

    The steady rate never exceeds the cold rate. If the bound allows less than two sends within a
    second, there is one sender, and the bound holds only while all daemons agree on it.

    Parameters
    ----------
    terms : ColdTerms
        The service's terms.
    kind_count : int, optional
        Kinds of work that the service gets; each has the same share of the rate.
    candidate_count : int, optional
        Daemons to choose the senders from, if they may be fewer than needed. Fewer senders send
        more often.
    """
    if terms.requests_per_second <= 0:
        return None
    sends = math.floor(terms.max_per_second * PLANNED_SHARE / kind_count)
    sender_count = max(1, sends // SENDS_PER_SENDER)
    if candidate_count is not None:
        sender_count = min(sender_count, max(1, candidate_count))
    sends_per_sender = max(1, sends // sender_count)
    interval_seconds = max(
        1 / (SPACING_FACTOR * sends_per_sender),
        sender_count * kind_count / terms.requests_per_second,
    )
    return SendPlan(sender_count, interval_seconds)
