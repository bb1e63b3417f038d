"""The choice among places: near-best, by room, and no herd."""

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


def place(
    name, running=0.0, waiting=0.0, pace=1.0, is_at_hand=False, word_age_seconds=0.0
) -> TargetEstimate:
    return TargetEstimate(
        name, 6, running, waiting, pace, 0.05, word_age_seconds, 0.001, is_at_hand
    )


def draw(places, times=400) -> Counter:
    rng = random.Random(7)
    return Counter(choose_target(places, 1.0, RUN_SECONDS, rng).instance for _ in range(times))


def test_work_goes_where_it_finishes_first_by_words_just_said():
    assert set(draw([place("full", 6, 4), place("free")])) == {"free"}
    assert set(draw([place("slow", pace=1.6), place("quick")])) == {"quick"}
    # A fast target with a queue may still be the better one.
    assert set(draw([place("slow", pace=6.0), place("queue", 6, 1)])) == {"queue"}


def test_old_words_tell_little_apart_but_what_stands_out():
    for age_seconds, most, least in ((0.05, 400, 300), (1.0, 320, 220)):
        quick = place("quick", word_age_seconds=age_seconds)
        slow = place("slow", pace=1.6, word_age_seconds=age_seconds)
        standing = place("standing", pace=6.0, word_age_seconds=age_seconds)
        drawn = draw([quick, slow, standing])
        assert least < drawn["quick"] < most
        assert drawn["standing"] == 0


def test_near_equals_are_drawn_by_room():
    drawn = draw([place("one left", 5), place("empty")])
    assert drawn["empty"] > 3 * drawn["one left"] > 0


def test_an_open_connection_decides_among_equals_only():
    assert set(draw([place("a"), place("b", is_at_hand=True)])) == {"b"}
    assert set(draw([place("a"), place("b", 6, 3, is_at_hand=True)])) == {"a"}


def test_a_breaker_comes_before_good_words():
    """A target whose state sounds good and that never answers gets no more work."""
    policy = POLICIES.get("nearly_best")(random.Random(1))
    liar, honest = (Target(name, "u", "z", place=place(name)) for name in ("liar", "honest"))
    liar.place = place("liar", pace=0.3)
    request = RoutedRequest(0.0, 1.0, (), 0.0, RUN_SECONDS)
    assert policy.choose(request, usable_targets([liar, honest], 0.0)) is liar
    liar.went_silent(0.0)
    assert policy.choose(request, usable_targets([liar, honest], 0.0)) is honest


def test_targets_without_a_place_are_chosen_among_by_own_load():
    policy = POLICIES.get("nearly_best")(random.Random(1))
    busy, idle = Target("busy", "u", "z", own_tokens=9.0), Target("idle", "u", "z")
    request = RoutedRequest(0.0, 1.0, (), 0.0)
    assert policy.choose(request, [busy, idle]) is idle


class PlayedLoad:
    """Calls of many deciders at a few targets; each decider has its own words of an age."""

    TARGETS = 12
    DECIDERS = 77
    SLOTS = 6
    STEP_SECONDS = 0.01
    CALLS_EACH_STEP = 8

    def __init__(self, seed: int, choose):
        self.rng = random.Random(seed)
        self.choose = choose
        self.targets = [
            ListedTarget(f"t{number}", "s", "h", 1, "z", self.SLOTS)
            for number in range(self.TARGETS)
        ]
        self.paces = [self.rng.uniform(0.55, 1.2) for _ in self.targets]
        self.work = [[] for _ in self.targets]
        self.history = []
        self.pictures = [LoadEstimator() for _ in range(self.DECIDERS)]
        self.heard_at = [[-1.0] * self.TARGETS for _ in self.pictures]
        self.longest_queue = 0

    def play(self, seconds: float) -> int:
        for step in range(round(seconds / self.STEP_SECONDS)):
            now_seconds = step * self.STEP_SECONDS
            self.history.append([len(work) for work in self.work])
            for _ in range(self.CALLS_EACH_STEP):
                self.decide(now_seconds)
            for work, pace in zip(self.work, self.paces, strict=True):
                for place in range(min(self.SLOTS, len(work))):
                    work[place] -= self.STEP_SECONDS / pace
                work[:] = [left for left in work if left > 0]
            if now_seconds > 1.0:
                self.longest_queue = max(self.longest_queue, *map(len, self.work))
        return self.longest_queue - self.SLOTS

    def decide(self, now_seconds: float) -> None:
        decider = self.rng.randrange(self.DECIDERS)
        picture = self.pictures[decider]
        age_seconds = self.rng.uniform(0.2, 1.0)
        said = self.history[max(0, len(self.history) - 1 - round(age_seconds / self.STEP_SECONDS))]
        for number, target in enumerate(self.targets):
            word = ReportedLoad(
                min(self.SLOTS, said[number]),
                max(0, said[number] - self.SLOTS),
                self.SLOTS,
                self.paces[number],
                max(0.0, now_seconds - age_seconds),
            )
            picture.heard(target.start, "s", word)
        places = [picture.place(target, WorkKind.CALL, 1.0, now_seconds) for target in self.targets]
        chosen = self.choose(places, self.rng)
        self.work[places.index(chosen)].append(RUN_SECONDS)


def best_of_all(places, rng):
    return min(places, key=lambda place: place.finish_seconds(1.0, RUN_SECONDS))


def drawn(places, rng):
    return choose_target(places, 1.0, RUN_SECONDS, rng)


def test_many_deciders_with_the_same_words_are_no_herd():
    for seed in range(3):
        herd = PlayedLoad(seed, best_of_all).play(4.0)
        no_herd = PlayedLoad(seed, drawn).play(4.0)
        assert no_herd <= PlayedLoad.SLOTS
        assert herd > 3 * max(1, no_herd)


def test_work_whose_time_is_not_known_is_placed_all_the_same():
    unknown = TargetEstimate("a", 6, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    assert choose_target([unknown], 1.0, 0.0, random.Random(1)) is unknown
