"""Routing policies, by name."""

import hashlib
import random
from dataclasses import dataclass
from typing import Protocol

from rackswitch.registry import Registry
from rackswitch.routing.placing import choose_target
from rackswitch.routing.targets import Target

__all__ = ["BATCH_WIDTH", "POLICIES", "Policy", "RoutedRequest", "estimated_wait_seconds"]

PREFILL_TOKENS_PER_SECOND = 8000.0
WARM_UP_PENALTY_SECONDS = 0.05
BATCH_WIDTH = 16.0
"""Requests that an engine is taken to run side by side."""

HOME_WAIT_FACTOR = 1.25
HOME_WAIT_SECONDS = 0.02
"""How much longer than elsewhere a request may wait at its prefix's home."""

NEAR_TIE_SECONDS = 0.010
"""Targets this close to the best are drawn from at random, against herding."""


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """What a policy may know about a request.

    Attributes
    ----------
    prompt_tokens : float
        Length of its prompt.
    cost_tokens : float
        Its work, counted in tokens.
    prefixes : tuple of int
        Keys of its prompt's prefix chunks, the first one first.
    now_seconds : float
        Monotonic clock.
    run_seconds : float
        How long a request of its service usually takes at pace 1; 0 where targets tell no pace.
    """

    prompt_tokens: float
    cost_tokens: float
    prefixes: tuple[int, ...]
    now_seconds: float
    run_seconds: float = 0.0


class Policy(Protocol):
    """Chooses among the targets that may serve a request."""

    def __init__(self, rng: random.Random): ...

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        ...


POLICIES: Registry[type[Policy]] = Registry("routing policy")


def estimated_wait_seconds(request: RoutedRequest, target: Target) -> float:
    """Return the expected time until the target has answered the request.

    The work ahead at the target's observed speed, the part of the prompt that is not
    cached there, the request's own tokens, the network and a warm-up.
    """
    speed = max(1.0, target.speed_tokens_per_second)
    queue_seconds = target.outstanding_tokens() / (speed * BATCH_WIDTH)
    missed_share = 1.0 - target.cached_share(request.prefixes)
    prefill_seconds = request.prompt_tokens * missed_share / PREFILL_TOKENS_PER_SECOND
    own_seconds = request.cost_tokens / speed
    warm_up = WARM_UP_PENALTY_SECONDS if request.now_seconds < target.warm_until_seconds else 0.0
    return queue_seconds + prefill_seconds + own_seconds + 2 * target.one_way_seconds + warm_up


@POLICIES.register("random")
class RandomChoice:
    """Any target, with equal chance."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        return self._rng.choice(targets)


@POLICIES.register("round_robin")
class RoundRobin:
    """The targets in turn."""

    __slots__ = ("_turn",)

    def __init__(self, rng: random.Random):
        self._turn = rng.randrange(1 << 16)

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        self._turn += 1
        return targets[self._turn % len(targets)]


@POLICIES.register("least_reported")
class LeastReported:
    """The target whose last report shows the shortest queue."""

    __slots__ = ()

    def __init__(self, rng: random.Random):
        pass

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""

        def reported_tokens(target: Target) -> float:
            return target.report.queued_tokens if target.report is not None else 0.0

        return min(targets, key=reported_tokens)


@POLICIES.register("two_choices")
class TwoChoices:
    """The less loaded of two targets drawn at random."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        pair = self._rng.sample(targets, min(2, len(targets)))
        return min(pair, key=Target.outstanding_tokens)


@POLICIES.register("at_hand")
class AtHand:
    """A target to which a connection rests, or else the less loaded of two.

    A daemon that calls a service now and then opens a connection for nearly each call when it
    draws among all targets. A daemon that serves many calls has connections to all of them, and so
    draws among all.
    """

    __slots__ = ("_two_choices",)

    def __init__(self, rng: random.Random):
        self._two_choices = TwoChoices(rng)

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        at_hand = [target for target in targets if target.is_at_hand(request.now_seconds)]
        return self._two_choices.choose(request, at_hand or targets)


@POLICIES.register("nearly_best")
class NearlyBest:
    """A draw among the places that finish a request first, by what targets tell.

    Targets without a place are passed over; if none has one, the less loaded of two is chosen.
    """

    __slots__ = ("_rng", "_two_choices")

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._two_choices = TwoChoices(rng)

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        by_name = {target.name: target for target in targets}
        places = [target.place for target in targets if target.place is not None]
        if not places:
            return self._two_choices.choose(request, targets)
        return by_name[choose_target(places, 1.0, request.run_seconds, self._rng).instance]


@POLICIES.register("estimated_wait")
class EstimatedWait:
    """The shortest estimated wait, near ties drawn at random."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        waits = [(estimated_wait_seconds(request, target), target) for target in targets]
        best_seconds = min(wait for wait, _ in waits)
        near = [target for wait, target in waits if wait <= best_seconds + NEAR_TIE_SECONDS]
        return self._rng.choice(near)


@POLICIES.register("prefix_home")
class PrefixHome:
    """A prefix's home target, unless it is clearly busier than the better of two others.

    The home follows from the prompt's first chunk alone, so all daemons send a prefix to
    the same engine without talking. Two random candidates in place of all keep daemons
    with equally old reports from running to the same engine. This is the shipped policy.

    References
    ----------
    The bound on the home's load is after "Consistent Hashing with Bounded Loads"
    (Mirrokni, Thorup, Zadimoghaddam; SODA 2018).
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        pair = self._rng.sample(targets, min(2, len(targets)))
        waits = [estimated_wait_seconds(request, target) for target in pair]
        best_seconds = min(waits)
        if request.prefixes:
            home = _home(request.prefixes[0], targets)
            bound_seconds = best_seconds * HOME_WAIT_FACTOR + HOME_WAIT_SECONDS
            if estimated_wait_seconds(request, home) <= bound_seconds:
                return home
        return pair[waits.index(best_seconds)]


def _home(prefix: int, targets: list[Target]) -> Target:
    """Return the target that a prefix belongs to (rendezvous hashing)."""

    def weight(target: Target) -> bytes:
        return hashlib.blake2b(f"{prefix}|{target.name}".encode(), digest_size=8).digest()

    return max(targets, key=weight)
