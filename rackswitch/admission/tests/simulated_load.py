"""A played load: many daemons before four targets, by three ways to share them.

Calls come at random daemons; targets have slots and a short queue, and tell with each answer how
full they are. The decisions are the shipped code; time is a number.
"""

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from rackswitch.admission import (
    REWARD_RANK,
    AdmissionRequest,
    RefuseCall,
    SendCall,
    ServiceAdmission,
    Ticket,
    WaitInQueue,
)
from rackswitch.admission.patience import PatienceEstimate
from rackswitch.admission.service_admission import has_room_to_spare
from rackswitch.admission.shares import fair_rate
from rackswitch.requests import retry_delay_seconds
from rackswitch.routing import TargetEstimate

WORK_SECONDS = 0.033
REWARD_WORK_SECONDS = 0.107
WORK_SIGMA = 0.5
NETWORK_SECONDS = 0.001
AIM_SECONDS = 0.179
DEADLINE_SECONDS = 0.804
REWARD_DEADLINE_SECONDS = 2.0
REWARD_BURST = 56
REWARD_BURST_PERIOD_SECONDS = 4.0
REWARD_PAUSE_SECONDS = 0.1
RANKS = (0, 1, 2)
RANK_WEIGHTS = (0.3, 0.4, 0.3)
LARGE_WEIGHTS = (10, 10, 20, 20, 30, 40, 40, 70)
"""How many times a small tenant's calls the first tenants send."""
WORD_FADE_SECONDS = 0.2
POLL_SECONDS = 0.02
POLLS = 11
AT_ONCE_SECONDS = 0.02
SHORT_SHARE = 0.05


@dataclass(slots=True)
class Sizes:
    daemons: int = 77
    tenants: int = 88
    targets: int = 4
    slots: int = 6
    queue: int = 20

    @property
    def work_per_second(self) -> float:
        return float(self.targets * self.slots)


@dataclass(slots=True)
class Caller:
    """One call over all of its attempts."""

    number: int
    kind: str
    tenant: str
    rank: int
    work_seconds: float
    first_seconds: float
    deadline_seconds: float
    attempts: int = 0
    arrived_seconds: float = 0.0
    ran: int = 0


@dataclass(slots=True)
class Target:
    """Slots and a queue behind them; `pace` stretches work."""

    sizes: Sizes
    pace: float = 1.0
    running: int = 0
    is_gone: bool = False
    queue: list[tuple[Caller, Callable[[], None]]] = field(default_factory=list)


@dataclass(slots=True)
class Seen:
    """What a daemon last heard of a target."""

    running: int = 0
    waiting: int = 0
    pace: float = 1.0
    at_seconds: float = float("-inf")
    sent_since: int = 0


@dataclass(slots=True)
class Tally:
    """What came of the load."""

    served: list[tuple[Caller, float]] = field(default_factory=list)
    refused_after_seconds: list[float] = field(default_factory=list)
    refused_while_half_free: int = 0
    refused_while_shown_free: int = 0
    lost: list[Caller] = field(default_factory=list)
    run_twice: int = 0
    burst_seconds: list[float] = field(default_factory=list)


class Play:
    """One run of the load by one way; subclasses say how a daemon treats a call."""

    def __init__(self, load: float, seed: int, seconds: float, sizes: Sizes | None = None):
        self.sizes = sizes or Sizes()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.end = seconds
        self.load = load
        self.targets = [Target(self.sizes) for _ in range(self.sizes.targets)]
        self.tally = Tally()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.tenants = [f"t{n}" for n in range(self.sizes.tenants)]
        self.tenant_weights = [1] * self.sizes.tenants
        self.tenant_weights[: len(LARGE_WEIGHTS)] = LARGE_WEIGHTS
        self.bursts = True
        self.rank_weights = RANK_WEIGHTS

    def at(self, seconds: float, what: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (seconds, self._number, what))

    def run(self) -> Tally:
        self._next_call()
        if self.bursts:
            self.at(REWARD_BURST_PERIOD_SECONDS / 2, self._burst)
        while self._events:
            self.now, _, what = heapq.heappop(self._events)
            if self.now > self.end + REWARD_DEADLINE_SECONDS:
                break
            what()
        return self.tally

    def work(self, mean_seconds: float) -> float:
        return mean_seconds * math.exp(self.rng.gauss(-(WORK_SIGMA**2) / 2, WORK_SIGMA))

    def _next_call(self) -> None:
        reward = REWARD_BURST * REWARD_WORK_SECONDS / REWARD_BURST_PERIOD_SECONDS
        wanted = self.load * self.sizes.work_per_second - reward * self.bursts
        self.at(self.now + self.rng.expovariate(wanted / WORK_SECONDS), self._call)

    def _call(self) -> None:
        if self.now > self.end:
            return
        self._next_call()
        tenant = self.rng.choices(self.tenants, self.tenant_weights)[0]
        rank = self.rng.choices(RANKS, self.rank_weights)[0]
        caller = Caller(
            self._number,
            f"check-{rank}",
            tenant,
            rank,
            self.work(WORK_SECONDS),
            self.now,
            self.now + DEADLINE_SECONDS,
        )
        self._attempt(caller, self.rng.randrange(self.sizes.daemons))

    def _burst(self) -> None:
        if self.now > self.end:
            return
        self.at(self.now + REWARD_BURST_PERIOD_SECONDS, self._burst)
        daemon = self.rng.randrange(self.sizes.daemons)
        left = [REWARD_BURST]
        began = self.now
        for _ in range(REWARD_BURST):
            self._number += 1
            caller = Caller(
                self._number,
                "reward",
                "",
                REWARD_RANK,
                self.work(REWARD_WORK_SECONDS),
                self.now,
                float("inf"),
            )
            self._reward(caller, daemon, left, began)

    def _reward(self, caller: Caller, daemon: int, left: list[int], began: float) -> None:
        caller.deadline_seconds = self.now + REWARD_DEADLINE_SECONDS
        caller.arrived_seconds = self.now

        def served() -> None:
            left[0] -= 1
            if left[0] == 0:
                self.tally.burst_seconds.append(self.now - began)

        def refused(_: float) -> None:
            self.at(
                self.now + REWARD_PAUSE_SECONDS, lambda: self._reward(caller, daemon, left, began)
            )

        self.serve(caller, daemon, served, refused)

    def _attempt(self, caller: Caller, daemon: int) -> None:
        caller.attempts += 1
        caller.arrived_seconds = self.now

        def served() -> None:
            self.tally.served.append((caller, self.now))

        def refused(retry_after_seconds: float) -> None:
            self.tally.refused_after_seconds.append(self.now - caller.arrived_seconds)
            taken = sum(target.running for target in self.targets)
            waits = any(target.queue for target in self.targets)
            there = sum(not target.is_gone for target in self.targets) * self.sizes.slots
            self.tally.refused_while_half_free += (
                there > 0 and not waits and taken < there / 2 and self.now < self.end
            )
            left = caller.deadline_seconds - self.now
            if caller.attempts >= 2:
                self.tally.lost.append(caller)
                return
            back = self.now + min(retry_after_seconds, left / 3) + 2 * NETWORK_SECONDS
            other = self.rng.randrange(self.sizes.daemons)
            self.at(back, lambda: self._attempt(caller, other))

        self.serve(caller, daemon, served, refused)

    def serve(self, caller, daemon, served, refused) -> None:
        raise NotImplementedError

    def begin_at(self, number: int, caller: Caller, answered, not_begun) -> None:
        """Let a call arrive at a target."""
        target = self.targets[number]

        def arrive() -> None:
            if target.is_gone or (
                target.running >= self.sizes.slots and len(target.queue) >= self.sizes.queue
            ):
                self.at(self.now + NETWORK_SECONDS, not_begun)
                return
            caller.ran += 1
            self.tally.run_twice += caller.ran > 1
            if target.running < self.sizes.slots:
                self._work_on(target, caller, answered)
            else:
                target.queue.append((caller, answered))

        self.at(self.now + NETWORK_SECONDS, arrive)

    def _work_on(self, target: Target, caller: Caller, answered) -> None:
        target.running += 1

        def done() -> None:
            target.running -= 1
            if target.queue:
                self._work_on(target, *target.queue.pop(0))
            word = (target.running, len(target.queue), target.pace)
            self.at(self.now + NETWORK_SECONDS, lambda: answered(*word))

        self.at(self.now + caller.work_seconds * target.pace, done)


class PolledPlay(Play):
    """Without a queue: a refused call is sent again after a pause, in no order."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.own = [[0] * self.sizes.targets for _ in range(self.sizes.daemons)]

    def serve(self, caller, daemon, served, refused) -> None:
        own = self.own[daemon]
        tries = [0]

        def send() -> None:
            pair = self.rng.sample(range(self.sizes.targets), 2)
            number = min(pair, key=own.__getitem__)
            own[number] += 1
            tries[0] += 1

            def answered(running, waiting, pace) -> None:
                own[number] -= 1
                served()

            def not_begun() -> None:
                own[number] -= 1
                if tries[0] >= POLLS or self.now >= caller.deadline_seconds:
                    refused(retry_delay_seconds(WORK_SECONDS, caller.rank, self.rng.random()))
                else:
                    self.at(self.now + POLL_SECONDS, send)

            self.begin_at(number, caller, answered, not_begun)

        send()


class IdealPlay(Play):
    """One queue for all that knows all: rank, then time left; a call that is late is refused."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.waiting: list = []

    def serve(self, caller, daemon, served, refused) -> None:
        heapq.heappush(
            self.waiting,
            (caller.rank, caller.deadline_seconds, self._number, caller, served, refused),
        )
        self._number += 1
        self._fill()
        entry = next((e for e in self.waiting if e[3] is caller), None)
        if entry is None:
            return
        ahead = sum(e < entry for e in self.waiting) + 1
        wait = ahead * WORK_SECONDS / self.sizes.work_per_second
        aim = AIM_SECONDS if caller.rank != REWARD_RANK else REWARD_DEADLINE_SECONDS
        if wait > aim - WORK_SECONDS:
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
            refused(retry_delay_seconds(0.1, caller.rank, self.rng.random()))

    def _fill(self) -> None:
        while self.waiting:
            free = [n for n, t in enumerate(self.targets) if t.running < self.sizes.slots]
            if not free:
                return
            _, _, _, caller, served, refused = heapq.heappop(self.waiting)
            aim = AIM_SECONDS if caller.rank != REWARD_RANK else REWARD_DEADLINE_SECONDS
            if self.now + WORK_SECONDS > caller.arrived_seconds + aim:
                refused(retry_delay_seconds(0.1, caller.rank, self.rng.random()))
                continue

            def answered(running, waiting, pace, served=served) -> None:
                served()
                self._fill()

            target = self.targets[min(free, key=lambda n: self.targets[n].running)]
            self._work_on(target, caller, answered)


class AdmissionPlay(Play):
    """The shipped decisions, one `ServiceAdmission` a daemon."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.rooms = [ServiceAdmission() for _ in range(self.sizes.daemons)]
        self.patience = [PatienceEstimate() for _ in range(self.sizes.daemons)]
        self.waits: list[dict[Ticket, tuple]] = [{} for _ in range(self.sizes.daemons)]
        self.looks = [float("inf")] * self.sizes.daemons
        self.seen = [[Seen() for _ in range(self.sizes.targets)] for _ in range(self.sizes.daemons)]

    def places(self, daemon: int) -> list[TargetEstimate]:
        return [self._place(number, seen) for number, seen in enumerate(self.seen[daemon])]

    def _place(self, number: int, seen: Seen) -> TargetEstimate:
        age = self.now - seen.at_seconds
        fade = math.exp(-age / WORD_FADE_SECONDS)
        running = min(float(self.sizes.slots), seen.running * fade + seen.sent_since)
        return TargetEstimate(
            str(number),
            self.sizes.slots,
            running,
            seen.waiting * fade,
            seen.pace,
            WORK_SECONDS,
            age,
            2 * NETWORK_SECONDS,
        )

    def serve(self, caller, daemon, served, refused) -> None:
        room = self.rooms[daemon]
        left = caller.deadline_seconds - self.now
        aim = AIM_SECONDS if caller.rank != REWARD_RANK else REWARD_DEADLINE_SECONDS
        want = AdmissionRequest(
            str(caller.number),
            caller.kind,
            caller.tenant,
            caller.rank,
            1000,
            self.now,
            min(self.now + aim, caller.deadline_seconds),
            caller.deadline_seconds,
            self.patience[daemon].is_back(caller.kind, left),
        )
        places = self.places(daemon)
        decision = room.ask(want, places, self.rng.random(), self.now)
        self._carry_out(daemon, caller, want, decision, served, refused)

    def _carry_out(self, daemon, caller, want, decision, served, refused) -> None:
        if isinstance(decision, SendCall):
            self._send(daemon, caller, want, served, refused)
        elif isinstance(decision, WaitInQueue):
            self.waits[daemon][decision.ticket] = (caller, want, served, refused)
            self._look_later(daemon)
        else:
            self._refuse(daemon, caller, decision, refused)

    def _refuse(self, daemon, caller, decision: RefuseCall, refused) -> None:
        self.tally.refused_while_shown_free += has_room_to_spare(self.places(daemon))
        base = max(0.1, decision.wait_seconds)
        refused(retry_delay_seconds(base, min(caller.rank, 9), self.rng.random()))

    def _send(self, daemon, caller, want, served, refused) -> None:
        room = self.rooms[daemon]
        pair = self.rng.sample(self.places(daemon), 2)
        place = min(pair, key=lambda place: place.finish_seconds(1.0, WORK_SECONDS))
        number = int(place.instance)
        seen = self.seen[daemon][number]
        seen.sent_since += 1
        began = self.now

        def answered(running, waiting, pace) -> None:
            self.seen[daemon][number] = Seen(running, waiting, pace, self.now)
            room.ended(want, self.now - began)
            room.limit.answered(running, waiting, self.sizes.slots, self.now)
            served()
            self._look(daemon)

        def not_begun() -> None:
            self.seen[daemon][number] = Seen(6, self.sizes.queue, seen.pace, self.now)
            room.ended(want, None)
            room.target_refused(self.now)
            self._carry_out(daemon, caller, want, room.ask_again(want, self.now), served, refused)
            self._look(daemon)

        self.begin_at(number, caller, answered, not_begun)

    def _look(self, daemon: int) -> None:
        room = self.rooms[daemon]
        for ticket, decision in room.due(self.places(daemon), self.now):
            caller, want, served, refused = self.waits[daemon].pop(ticket)
            self._carry_out(daemon, caller, want, decision, served, refused)
        self._look_later(daemon)

    def _look_later(self, daemon: int) -> None:
        at = self.rooms[daemon].next_look_seconds(self.now)
        if at == float("inf") or self.now < self.looks[daemon] <= at:
            return
        at = max(at, self.now + 1e-4)
        self.looks[daemon] = at

        def look() -> None:
            if self.looks[daemon] == at:
                self.looks[daemon] = float("inf")
                self._look(daemon)

        self.at(at, look)


@dataclass(frozen=True, slots=True)
class Figures:
    """What callers got, of a run without its first seconds.

    Attributes
    ----------
    goodput : float
        Work answered within its aim, counted from the attempt that was served, over capacity.
    in_time : dict of int to float
        Share of each rank's calls answered within their aim from the first attempt.
    served : dict of int to float
        Share of each rank's calls answered at all.
    jain : float
        Fairness of the work done for the tenants that wanted more than their share.
    """

    goodput: float
    served: dict[int, float]
    in_time: dict[int, float]
    first_rank_p99_seconds: float
    jain: float
    refused_at_once_share: float
    refused_while_half_free: int
    refused_while_shown_free: int
    run_twice: int
    longest_burst_seconds: float


def figures(play: Play, warm_seconds: float = 3.0) -> Figures:
    tally = play.tally
    done = [(c, at) for c, at in tally.served if warm_seconds <= c.first_seconds]
    lost = [c for c in tally.lost if warm_seconds <= c.first_seconds]
    seconds = play.end - warm_seconds
    capacity = play.sizes.work_per_second * seconds
    good = sum(c.work_seconds for c, at in done if at - c.arrived_seconds <= AIM_SECONDS)
    rewards = REWARD_WORK_SECONDS * REWARD_BURST * len(tally.burst_seconds) * (seconds / play.end)
    ranks = sorted({c.rank for c, _ in done} | {c.rank for c in lost})
    in_time, served = {}, {}
    for rank in ranks:
        own = [(c, at) for c, at in done if c.rank == rank]
        all_count = len(own) + sum(c.rank == rank for c in lost)
        served[rank] = len(own) / all_count
        in_time[rank] = sum(at - c.first_seconds <= AIM_SECONDS for c, at in own) / all_count
    first = [at - c.arrived_seconds for c, at in done if c.rank == 0]
    return Figures(
        (good + rewards) / capacity,
        served,
        in_time,
        percentile(first, 0.99),
        _jain(done, lost),
        _share(tally.refused_after_seconds, AT_ONCE_SECONDS),
        tally.refused_while_half_free,
        tally.refused_while_shown_free,
        tally.run_twice,
        max(tally.burst_seconds, default=0.0),
    )


def _share(values: list[float], most: float) -> float:
    return sum(value <= most for value in values) / len(values) if values else 1.0


def percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _jain(done: list[tuple[Caller, float]], lost: list[Caller]) -> float:
    """Return Jain's index of the work done for tenants that wanted more than their share.

    Ranks go before shares, so that it is taken by rank: the least of those with too little room.
    """
    ranks = {caller.rank for caller in lost}
    found = [1.0]
    for rank in ranks:
        own_done = [caller for caller, _ in done if caller.rank == rank]
        own_lost = [caller for caller in lost if caller.rank == rank]
        if len(own_lost) > SHORT_SHARE * (len(own_done) + len(own_lost)):
            found.append(_jain_of(own_done, own_lost))
    return min(found)


def _jain_of(done: list[Caller], lost: list[Caller]) -> float:
    got: dict[str, float] = {caller.tenant: 0.0 for caller in (*done, *lost)}
    wanted = dict(got)
    for caller in done:
        got[caller.tenant] += caller.work_seconds
    for caller in (*done, *lost):
        wanted[caller.tenant] += caller.work_seconds
    share = fair_rate(list(wanted.values()), sum(got.values()))
    more = [got[tenant] for tenant, work in wanted.items() if work > share]
    squares = sum(value**2 for value in more)
    return sum(more) ** 2 / (len(more) * squares) if squares > 0 else 1.0
