"""Choose a target for one attempt of a request or sample."""

import itertools
import random

from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.target_manager import TargetManager, prompt_prefixes
from rackswitch.requests import AttemptLog
from rackswitch.routing import POLICIES, RoutedRequest, Target, usable_targets
from rackswitch.table import RouteChoice, RouteRow, TargetRow

__all__ = ["Candidate", "TargetChooser"]

CHARACTERS_PER_TOKEN = 4.0

Candidate = tuple[TargetRow, Target]


class TargetChooser:
    """Applies the configured routing policy to the known targets.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    targets : TargetManager
        The known targets.
    """

    __slots__ = ("_context", "_counter", "_policy", "_start_id", "_targets")

    def __init__(self, context: DaemonContext, targets: TargetManager):
        self._context = context
        self._targets = targets
        self._policy = POLICIES.get(context.settings.routing_policy)(context.rng)
        self._counter = itertools.count()
        self._start_id = context.rng.randrange(1 << 48)

    def new_attempt_id(self) -> str:
        """Return an attempt ID that is unique across daemons and restarts."""
        return f"{self._context.settings.daemon}-{self._start_id:x}-{next(self._counter)}"

    def routed_request(self, prompt: str, cost_tokens: float) -> RoutedRequest:
        """Return the properties of a request that a routing policy may use."""
        return RoutedRequest(
            prompt_tokens=len(prompt) / CHARACTERS_PER_TOKEN,
            cost_tokens=cost_tokens,
            prefixes=prompt_prefixes(prompt),
            now_seconds=self._context.now_seconds(),
        )

    def route_choice(self, route: RouteRow) -> RouteChoice:
        """Draw a choice by weight, from those with an allowed target if there are any."""
        available = tuple(choice for choice in route.choices if self._targets.allowed(choice))
        return _weighted_choice(available or route.choices, self._context.rng)

    def candidates(self, choice: RouteChoice, log: AttemptLog) -> list[Candidate]:
        """Return the untried targets, or all of them if every one was tried and work may repeat."""
        tried = log.tried_targets()
        allowed = self._targets.allowed(choice)
        untried = [(row, target) for row, target in allowed if row.name not in tried]
        return untried or (allowed if log.repeatable else [])

    def pick(self, routed: RoutedRequest, candidates: list[Candidate]) -> Candidate:
        """Return the candidate that the policy chooses; the list must not be empty."""
        rows = {target.name: row for row, target in candidates}
        usable = usable_targets([target for _, target in candidates], routed.now_seconds)
        target = self._policy.choose(routed, usable)
        return rows[target.name], target


def _weighted_choice(choices: tuple[RouteChoice, ...], rng: random.Random) -> RouteChoice:
    weights = [choice.weight for choice in choices]
    if sum(weights) <= 0:
        return choices[0]
    return rng.choices(choices, weights)[0]
