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
"""Assumed number of requests that an engine runs concurrently."""

HOME_WAIT_FACTOR = 1.25
HOME_WAIT_SECONDS = 0.02
"""How much longer than elsewhere a request may wait at its prefix's home target."""

TIE_SECONDS = 0.010
"""Targets whose waits exceed the best by at most this are drawn from at random, so that daemons
do not all choose the same target."""


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
        Typical time of a request of its service at pace 1; 0 where targets report no pace.
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

    It is the sum of the time for the work ahead at the target's observed speed, for the uncached
    part of the prompt and for the request's own tokens, the network round trip, and a warm-up.
    """
    speed = max(1.0, target.speed_tokens_per_second)
    queue_seconds = target.outstanding_tokens() / (speed * BATCH_WIDTH)
    missed_share = 1.0 - target.cached_share(request.prefixes)
    prefill_seconds = request.prompt_tokens * missed_share / PREFILL_TOKENS_PER_SECOND
    own_seconds = request.cost_tokens / speed
    warm_up_seconds = (
        WARM_UP_PENALTY_SECONDS if request.now_seconds < target.warming_up_until_seconds else 0.0
    )
    return (
        queue_seconds + prefill_seconds + own_seconds + 2 * target.one_way_seconds + warm_up_seconds
    )


@POLICIES.register("random")
class RandomChoice:
    """Any target, with equal probability."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        return self._rng.choice(targets)


@POLICIES.register("round_robin")
class RoundRobin:
    """The targets in turn, from a random one on."""

    __slots__ = ("_next",)

    def __init__(self, rng: random.Random):
        self._next = rng.randrange(1 << 16)

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        self._next += 1
        return targets[self._next % len(targets)]


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
class IdleConnection:
    """The less loaded of two targets, drawn among those with an idle open connection if any.

    Drawing among all targets would open a connection for nearly each call of a daemon that calls a
    service rarely. A daemon with many calls has connections to all targets and draws among all.
    """

    __slots__ = ("_two_choices",)

    def __init__(self, rng: random.Random):
        self._two_choices = TwoChoices(rng)

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        connected = [
            target for target in targets if target.has_idle_connection(request.now_seconds)
        ]
        return self._two_choices.choose(request, connected or targets)


@POLICIES.register("nearly_best")
class NearlyBest:
    """A weighted draw among the targets that are estimated to finish a request first.

    Targets without an estimate are ignored; if none has one, the less loaded of two is chosen.
    """

    __slots__ = ("_rng", "_two_choices")

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._two_choices = TwoChoices(rng)

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        by_name = {target.name: target for target in targets}
        estimates = [target.estimate for target in targets if target.estimate is not None]
        if not estimates:
            return self._two_choices.choose(request, targets)
        return by_name[choose_target(estimates, 1.0, request.run_seconds, self._rng).instance]


@POLICIES.register("estimated_wait")
class EstimatedWait:
    """The target with the shortest estimated wait; near ties are drawn at random."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, request: RoutedRequest, targets: list[Target]) -> Target:
        """Return one of `targets`, which is not empty."""
        waits = [(estimated_wait_seconds(request, target), target) for target in targets]
        best_seconds = min(wait for wait, _ in waits)
        tied = [target for wait, target in waits if wait <= best_seconds + TIE_SECONDS]
        return self._rng.choice(tied)


@POLICIES.register("prefix_home")
class PrefixHome:
    """A prefix's home target, unless it is clearly busier than the better of two others.

    The home depends on the prompt's first chunk alone, so all daemons send a prefix to the same
    engine without coordination. Otherwise two random candidates are compared, so that daemons with
    equally old reports do not all choose the same engine. This is the default policy.

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
            home = _home_target(request.prefixes[0], targets)
            max_wait_seconds = best_seconds * HOME_WAIT_FACTOR + HOME_WAIT_SECONDS
            if estimated_wait_seconds(request, home) <= max_wait_seconds:
                return home
        return pair[waits.index(best_seconds)]


def _home_target(prefix: int, targets: list[Target]) -> Target:
    """Return the target that a prefix belongs to (rendezvous hashing)."""

    def weight(target: Target) -> bytes:
        return hashlib.blake2b(f"{prefix}|{target.name}".encode(), digest_size=8).digest()

    return max(targets, key=weight)
