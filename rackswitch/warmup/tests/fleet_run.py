"""A simulated fleet of daemons that always have work for one cold target."""

import random
from bisect import bisect_right
from dataclasses import dataclass, field

from rackswitch.warmup import (
    ColdBudget,
    ColdTargets,
    ColdTerms,
    SenderViews,
    Warmth,
    plan_sends,
    sender_factor,
    warmth,
)

TERMS = ColdTerms(17.0, 1.5, 5.0)
MAX_LAG_SECONDS = 0.8
SAMPLE_SECONDS = 0.1
STEP_SECONDS = 0.01
COLD_FROM_SECONDS = 3.0
RUN_SECONDS = 12.0
MAX_DELAY_SECONDS = 0.06
"""Difference between the delays of two requests on their way to the target."""

UNLIMITED_BURST = 6
"""Requests that a daemon sends at once to a target that it takes for warm: all of its slots."""


@dataclass
class FleetHistory:
    """The states that the fleet went through, which each daemon sees with its own lag."""

    times_seconds: list[float] = field(default_factory=list)
    states: list[object] = field(default_factory=list)

    def append(self, at_seconds: float, state: object) -> None:
        self.times_seconds.append(at_seconds)
        self.states.append(state)

    def at(self, seconds: float) -> object | None:
        position = bisect_right(self.times_seconds, seconds) - 1
        return self.states[position] if position >= 0 else None


@dataclass(frozen=True)
class Entry:
    """An entry of the target, as it was written to the store."""

    start: str
    revision: int
    left_seconds: float


@dataclass
class FleetDaemon:
    """One daemon; `cut_at_seconds` is when it stopped receiving changes."""

    name: str
    lag_seconds: float
    cut_at_seconds: float = float("inf")
    pauses: list[tuple[float, float]] = field(default_factory=list)
    cold: ColdTargets = field(default_factory=ColdTargets)
    views: SenderViews = field(default_factory=SenderViews)
    budget: ColdBudget = field(
        default_factory=lambda: ColdBudget(plan_sends(TERMS).interval_seconds)
    )
    sampled_at_seconds: float = float("-inf")
    entry: Entry | None = None

    def is_paused(self, now_seconds: float) -> bool:
        return any(start <= now_seconds < end for start, end in self.pauses)

    def seen_seconds(self, now_seconds: float) -> float:
        return min(now_seconds, self.cut_at_seconds) - self.lag_seconds

    def acts_at(self, tick_seconds: float) -> float:
        """Return the end of the interval since its last send if that ended since the last tick."""
        if self.entry is None:
            return tick_seconds
        next_send_seconds = self.budget.next_send_seconds(self.entry.start)
        if tick_seconds - STEP_SECONDS < next_send_seconds <= tick_seconds:
            return next_send_seconds
        return tick_seconds

    def learn(self, owners: FleetHistory, entries: FleetHistory, now_seconds: float) -> None:
        entry = entries.at(self.seen_seconds(now_seconds))
        if entry is not None and entry is not self.entry:
            self.entry = entry
            self.cold.record_entry(
                "e", entry.start, entry.revision, entry.left_seconds, now_seconds
            )
        if now_seconds >= self.sampled_at_seconds + SAMPLE_SECONDS:
            self.sampled_at_seconds = now_seconds
            known = owners.at(self.seen_seconds(now_seconds))
            self.views.record(known or (), now_seconds)

    def sends(self, now_seconds: float) -> int:
        """Return how many requests it sends to the target now."""
        if self.entry is None:
            return 0
        pause_began_seconds = self.views.pause_began_seconds(now_seconds)
        if pause_began_seconds is not None:
            self.cold.record_pause(pause_began_seconds, now_seconds)
        until_seconds = self.cold.until_seconds(self.entry.start)
        if warmth(until_seconds, now_seconds) is Warmth.WARM:
            return UNLIMITED_BURST
        start = self.entry.start
        plan = plan_sends(TERMS, 1, self.views.max_candidate_count())
        self.budget.interval_seconds = plan.interval_seconds
        senders = plan.sender_count * sender_factor(until_seconds, now_seconds)
        if not self.views.is_sender(self.name, start, senders, now_seconds):
            return 0
        if not self.budget.may_send(start, now_seconds):
            return 0
        self.budget.record_send(start, now_seconds)
        return 1


def run_fleet(
    daemons: list[FleetDaemon],
    owners: FleetHistory,
    entries: FleetHistory,
    cold_phase_seconds: tuple[float, float],
    rng: random.Random,
) -> list[float]:
    """Return the arrivals at the target within its cold phase, sorted (seconds)."""
    arrivals_seconds: list[float] = []
    phases_seconds = {daemon.name: rng.uniform(0, STEP_SECONDS) for daemon in daemons}
    for step in range(int(cold_phase_seconds[1] / STEP_SECONDS)):
        for daemon in daemons:
            now_seconds = daemon.acts_at(step * STEP_SECONDS + phases_seconds[daemon.name])
            if daemon.is_paused(now_seconds):
                continue
            # It sends what it has in hand before it learns of changes, as after a pause.
            count = daemon.sends(now_seconds)
            daemon.learn(owners, entries, now_seconds)
            arrivals_seconds.extend(
                now_seconds + rng.uniform(0, MAX_DELAY_SECONDS) for _ in range(count)
            )
    first_seconds, last_seconds = cold_phase_seconds
    return sorted(at for at in arrivals_seconds if first_seconds <= at < last_seconds)


def max_within_a_second(arrivals_seconds: list[float]) -> int:
    """Return the most arrivals within any closed second; the arrivals are sorted."""
    return max(
        (
            bisect_right(arrivals_seconds, first + 1.0) - position
            for position, first in enumerate(arrivals_seconds)
        ),
        default=0,
    )


def random_owners(names: list[str], rng: random.Random, change_seconds: float) -> FleetHistory:
    """Return a history in which owners of jobs come and go, sometimes all of them at once."""
    history = FleetHistory()
    max_owners = rng.choice([2, 6, 12])
    owners = set(rng.sample(names, rng.randint(1, max_owners)))
    at_seconds = -5.0
    while at_seconds < RUN_SECONDS:
        history.append(at_seconds, frozenset(owners))
        at_seconds += rng.expovariate(1 / change_seconds)
        if rng.random() < 0.2:
            owners = set(rng.sample(names, rng.randint(1, max_owners)))
        elif len(owners) >= max_owners or (rng.random() < 0.5 and len(owners) > 1):
            owners.discard(rng.choice(sorted(owners)))
        else:
            owners.add(rng.choice(names))
    return history


def cold_entries(
    rng: random.Random, cold_until_seconds: float, is_lapsing: bool, is_for_ever: bool
) -> FleetHistory:
    """Return the entries of a target that starts cold; some lapse and return with old content."""
    history = FleetHistory()
    written: list[Entry] = []
    at_seconds = COLD_FROM_SECONDS
    while at_seconds < cold_until_seconds:
        left_seconds = 3.0 if is_for_ever else cold_until_seconds - at_seconds
        entry = Entry("e@1", 10 + len(written), left_seconds)
        if is_lapsing and written and rng.random() < 0.5:
            old = rng.choice(written)
            history.append(at_seconds - 0.3, None)
            # Either its content is old, or the entry as a whole.
            if rng.random() < 0.5:
                history.append(at_seconds - 0.1, old)
            else:
                entry = Entry("e@1", entry.revision, old.left_seconds)
        written.append(entry)
        history.append(at_seconds, entry)
        at_seconds += rng.uniform(1.0, 1.4)
    return history


def random_daemons(names: list[str], rng: random.Random, are_some_cut: bool) -> list[FleetDaemon]:
    daemons = [FleetDaemon(name, rng.uniform(0.0, MAX_LAG_SECONDS)) for name in names]
    for daemon in rng.sample(daemons, len(daemons) // 4):
        begin_seconds = rng.uniform(0.0, RUN_SECONDS)
        daemon.pauses.append((begin_seconds, begin_seconds + rng.uniform(0.05, 3.0)))
    if not are_some_cut:
        return daemons
    cut_at_seconds = rng.uniform(COLD_FROM_SECONDS + 1.0, RUN_SECONDS)
    for daemon in rng.sample(daemons, len(daemons) // 3):
        # A zone is cut off at one moment: its daemons keep the view of that moment.
        daemon.cut_at_seconds = cut_at_seconds
        daemon.lag_seconds = 0.1
    return daemons
