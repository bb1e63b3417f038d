"""The choice of a target: nearly the best, weighted by free slots, and spread over the targets."""

import random
from collections import Counter

from rackswitch.routing import (
    POLICIES,
    ListedTarget,
    LoadEstimator,
    ReportedLoad,
    RoutedRequest,
    Target,
    TargetEstimate,
    WorkKind,
    choose_target,
    usable_targets,
)

RUN_SECONDS = 0.05


def estimate(
    name, running=0.0, waiting=0.0, pace=1.0, is_at_hand=False, word_age_seconds=0.0
) -> TargetEstimate:
    return TargetEstimate(
        name, 6, running, waiting, pace, 0.05, word_age_seconds, 0.001, is_at_hand
    )


def draw(estimates, times=400) -> Counter:
    rng = random.Random(7)
    return Counter(choose_target(estimates, 1.0, RUN_SECONDS, rng).instance for _ in range(times))


def test_fresh_reports_decide_for_the_earliest_finish():
    assert set(draw([estimate("full", 6, 4), estimate("free")])) == {"free"}
    assert set(draw([estimate("slow", pace=1.6), estimate("fast")])) == {"fast"}
    # A fast target with a queue may still be the better one.
    assert set(draw([estimate("slow", pace=6.0), estimate("queue", 6, 1)])) == {"queue"}


def test_old_reports_exclude_only_much_slower_targets():
    for age_seconds, max_drawn, min_drawn in ((0.05, 400, 300), (1.0, 320, 220)):
        fast = estimate("fast", word_age_seconds=age_seconds)
        slow = estimate("slow", pace=1.6, word_age_seconds=age_seconds)
        stalled = estimate("stalled", pace=6.0, word_age_seconds=age_seconds)
        counts = draw([fast, slow, stalled])
        assert min_drawn < counts["fast"] < max_drawn
        assert counts["stalled"] == 0


def test_similar_targets_are_weighted_by_free_slots():
    counts = draw([estimate("one left", 5), estimate("empty")])
    assert counts["empty"] > 3 * counts["one left"] > 0


def test_an_open_connection_decides_between_similar_targets_only():
    assert set(draw([estimate("a"), estimate("b", is_at_hand=True)])) == {"b"}
    assert set(draw([estimate("a"), estimate("b", 6, 3, is_at_hand=True)])) == {"a"}


def test_an_open_breaker_overrides_a_good_estimate():
    """A target that reports little load but never answers must get no more work."""
    policy = POLICIES.get("nearly_best")(random.Random(1))
    misreporting, accurate = (
        Target(name, "u", "z", estimate=estimate(name)) for name in ("misreporting", "accurate")
    )
    misreporting.estimate = estimate("misreporting", pace=0.3)
    request = RoutedRequest(0.0, 1.0, (), 0.0, RUN_SECONDS)
    assert policy.choose(request, usable_targets([misreporting, accurate], 0.0)) is misreporting
    misreporting.record_no_response(0.0)
    assert policy.choose(request, usable_targets([misreporting, accurate], 0.0)) is accurate


def test_targets_without_an_estimate_are_chosen_by_own_load():
    policy = POLICIES.get("nearly_best")(random.Random(1))
    busy, idle = Target("busy", "u", "z", own_tokens=9.0), Target("idle", "u", "z")
    request = RoutedRequest(0.0, 1.0, (), 0.0)
    assert policy.choose(request, [busy, idle]) is idle


class SimulatedLoad:
    """Calls of many daemons to a few targets; each daemon has load reports of a different age."""

    TARGETS = 12
    DAEMONS = 77
    SLOTS = 6
    STEP_SECONDS = 0.01
    CALLS_PER_STEP = 8

    def __init__(self, seed: int, choose):
        self.rng = random.Random(seed)
        self.choose = choose
        self.targets = [
            ListedTarget(f"t{number}", "s", "h", 1, "z", self.SLOTS)
            for number in range(self.TARGETS)
        ]
        self.paces = [self.rng.uniform(0.55, 1.2) for _ in self.targets]
        self.remaining_work = [[] for _ in self.targets]
        self.history = []
        self.estimators = [LoadEstimator() for _ in range(self.DAEMONS)]
        self.heard_at = [[-1.0] * self.TARGETS for _ in self.estimators]
        self.longest_queue = 0

    def run(self, seconds: float) -> int:
        for step in range(round(seconds / self.STEP_SECONDS)):
            now_seconds = step * self.STEP_SECONDS
            self.history.append([len(remaining_work) for remaining_work in self.remaining_work])
            for _ in range(self.CALLS_PER_STEP):
                self.decide(now_seconds)
            for remaining_work, pace in zip(self.remaining_work, self.paces, strict=True):
                for slot in range(min(self.SLOTS, len(remaining_work))):
                    remaining_work[slot] -= self.STEP_SECONDS / pace
                remaining_work[:] = [
                    work_seconds for work_seconds in remaining_work if work_seconds > 0
                ]
            if now_seconds > 1.0:
                self.longest_queue = max(self.longest_queue, *map(len, self.remaining_work))
        return self.longest_queue - self.SLOTS

    def decide(self, now_seconds: float) -> None:
        daemon = self.rng.randrange(self.DAEMONS)
        estimator = self.estimators[daemon]
        age_seconds = self.rng.uniform(0.2, 1.0)
        reported = self.history[
            max(0, len(self.history) - 1 - round(age_seconds / self.STEP_SECONDS))
        ]
        for number, target in enumerate(self.targets):
            report = ReportedLoad(
                min(self.SLOTS, reported[number]),
                max(0, reported[number] - self.SLOTS),
                self.SLOTS,
                self.paces[number],
                max(0.0, now_seconds - age_seconds),
            )
            estimator.record_report(target.start, "s", report)
        estimates = [
            estimator.estimate(target, WorkKind.CALL, 1.0, now_seconds) for target in self.targets
        ]
        chosen = self.choose(estimates, self.rng)
        self.remaining_work[estimates.index(chosen)].append(RUN_SECONDS)


def choose_best(estimates, rng):
    return min(estimates, key=lambda estimate: estimate.finish_seconds(1.0, RUN_SECONDS))


def choose_drawn(estimates, rng):
    return choose_target(estimates, 1.0, RUN_SECONDS, rng)


def test_daemons_with_the_same_reports_do_not_choose_the_same_target():
    for seed in range(3):
        best_queue = SimulatedLoad(seed, choose_best).run(4.0)
        drawn_queue = SimulatedLoad(seed, choose_drawn).run(4.0)
        assert drawn_queue <= SimulatedLoad.SLOTS
        assert best_queue > 3 * max(1, drawn_queue)


def test_work_of_unknown_time_is_placed():
    unknown = TargetEstimate("a", 6, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    assert choose_target([unknown], 1.0, 0.0, random.Random(1)) is unknown
