"""Choosing a target for a call, and learning from how it went."""

from rackswitch.gateway.context import GatewayContext
from rackswitch.requests import TargetFailed
from rackswitch.routing import POLICIES, ListedTarget, RoutedRequest, Target, usable_targets
from rackswitch.table import RouteChoice, RouteRow

__all__ = ["CALL_COST_TOKENS", "TargetChooser"]

POLICY = "at_hand"
"""Calls of plain services are short and alike, and a new connection costs more than a queue."""

CALL_COST_TOKENS = 20.0
"""A plain call's weight in the load estimates, as in the stand-alone deployment."""


class TargetChooser:
    """Applies a routing policy to the listed targets.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = ("_context", "_policy")

    def __init__(self, context: GatewayContext):
        self._context = context
        self._policy = POLICIES.get(POLICY)(context.rng)

    def draw_choice(self, route: RouteRow) -> RouteChoice:
        """Draw by weight among a route's choices."""
        weights = [choice.weight for choice in route.choices]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.choices[0]
        return self._context.rng.choices(route.choices, weights)[0]

    def pick(self, service: str, tried: set[str]) -> ListedTarget | None:
        """Return a target of a service that was not tried yet, or None."""
        now_seconds = self._context.now_seconds()
        listed = {
            entry.instance: entry
            for entry in self._context.directory.usable(service, now_seconds)
            if entry.instance not in tried
        }
        if not listed:
            return None
        targets = [self._context.targets[instance] for instance in listed]
        routed = RoutedRequest(0.0, CALL_COST_TOKENS, (), now_seconds)
        chosen = self._policy.choose(routed, usable_targets(targets, now_seconds))
        return listed[chosen.name]

    def load(self, target: ListedTarget) -> Target:
        """Return what is known of a target's load."""
        return self._context.targets[target.instance]

    def note_failure(self, target: ListedTarget, failure: TargetFailed) -> None:
        """Learn from a call without an answer."""
        load = self.load(target)
        now_seconds = self._context.now_seconds()
        if failure.not_there:
            self._context.directory.disown(target.instance)
        elif failure.silent:
            load.went_silent(now_seconds)
        elif failure.may_have_run:
            load.failed(now_seconds)
