"""Choosing a target for one attempt of a request or sample."""

import itertools
import random

from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.target_keeper import TargetKeeper, prompt_prefixes
from rackswitch.requests import AttemptLog
from rackswitch.routing import POLICIES, RoutedRequest, Target, usable_targets
from rackswitch.table import RouteChoice, RouteRow, TargetRow

__all__ = ["Candidate", "TargetChooser"]

CHARACTERS_PER_TOKEN = 4.0

Candidate = tuple[TargetRow, Target]


class TargetChooser:
    """Applies the routing policy of the settings to what is known of targets.

    Parameters
    ----------
    context : DaemonContext
        The daemon.
    targets : TargetKeeper
        What is known of targets.
    """

    __slots__ = ("_context", "_counter", "_policy", "_start", "_targets")

    def __init__(self, context: DaemonContext, targets: TargetKeeper):
        self._context = context
        self._targets = targets
        self._policy = POLICIES.get(context.settings.routing_policy)(context.rng)
        self._counter = itertools.count()
        self._start = context.rng.randrange(1 << 48)

    def new_attempt_id(self) -> str:
        """Return an identity that no other attempt has, of any daemon or start."""
        return f"{self._context.settings.daemon}-{self._start:x}-{next(self._counter)}"

    def routed(self, prompt: str, cost_tokens: float) -> RoutedRequest:
        """Return what a policy may know of a request with this prompt."""
        return RoutedRequest(
            prompt_tokens=len(prompt) / CHARACTERS_PER_TOKEN,
            cost_tokens=cost_tokens,
            prefixes=prompt_prefixes(prompt),
            now_seconds=self._context.now_seconds(),
        )

    def route_choice(self, route: RouteRow) -> RouteChoice:
        """Draw by weight among the choices that have a target now, else among all."""
        served = tuple(choice for choice in route.choices if self._targets.allowed(choice))
        return _draw(served or route.choices, self._context.rng)

    def candidates(self, choice: RouteChoice, log: AttemptLog) -> list[Candidate]:
        """Return the targets not yet tried; all of them again if the work may be repeated."""
        tried = log.tried_targets()
        allowed = self._targets.allowed(choice)
        untried = [(row, target) for row, target in allowed if row.name not in tried]
        return untried or (allowed if log.repeatable else [])

    def pick(self, routed: RoutedRequest, candidates: list[Candidate]) -> Candidate:
        """Return the policy's choice among candidates, of which there must be one."""
        rows = {target.name: row for row, target in candidates}
        usable = usable_targets([target for _, target in candidates], routed.now_seconds)
        target = self._policy.choose(routed, usable)
        return rows[target.name], target


def _draw(choices: tuple[RouteChoice, ...], rng: random.Random) -> RouteChoice:
    weights = [choice.weight for choice in choices]
    if sum(weights) <= 0:
        return choices[0]
    return rng.choices(choices, weights)[0]
