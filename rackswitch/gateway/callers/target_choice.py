"""Choosing a target for a call, and learning from how it went."""

from rackswitch.gateway.context import GatewayContext
from rackswitch.requests import TargetAnswer, TargetFailed, TargetStream
from rackswitch.routing import (
    POLICIES,
    ListedTarget,
    RoutedRequest,
    SentRequest,
    Target,
    TargetEstimate,
    WorkKind,
    usable_targets,
)
from rackswitch.table import RouteChoice, RouteRow

__all__ = ["CALL_COST_TOKENS", "TargetChooser"]

POLICY = "at_hand"
"""Calls of plain services are short and alike, and a new connection costs more than a queue."""

POLICY_BY_WORDS = "nearly_best"
"""For services that are placed by what their targets tell of their load."""

CONNECT_SECONDS = 0.001
"""What a new connection takes besides one more way there and back."""

CALL_COST_TOKENS = 20.0
"""A plain call's weight in the load estimates, as in the stand-alone deployment."""


class TargetChooser:
    """Applies a routing policy to the listed targets.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = ("_by_words", "_context", "_policy")

    def __init__(self, context: GatewayContext):
        self._context = context
        self._policy = POLICIES.get(POLICY)(context.rng)
        self._by_words = POLICIES.get(POLICY_BY_WORDS)(context.rng)

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
        if self._context.places_by_load(service):
            return listed[self._choose_by_words(service, listed, targets, now_seconds).name]
        routed = RoutedRequest(0.0, CALL_COST_TOKENS, (), now_seconds)
        chosen = self._policy.choose(routed, usable_targets(targets, now_seconds))
        return listed[chosen.name]

    def _choose_by_words(
        self,
        service: str,
        listed: dict[str, ListedTarget],
        targets: list[Target],
        now_seconds: float,
    ) -> Target:
        """Return the target for a call of a service that is placed by load."""
        usable = usable_targets(targets, now_seconds)
        for target in usable:
            target.place = self._place(listed[target.name], target, now_seconds)
        run_seconds = self._context.load_estimator.usual_run_seconds(service, WorkKind.CALL)
        routed = RoutedRequest(0.0, CALL_COST_TOKENS, (), now_seconds, run_seconds)
        return self._by_words.choose(routed, usable)

    def _place(self, listed: ListedTarget, target: Target, now_seconds: float) -> TargetEstimate:
        """Return what a place for a call is worth at a target."""
        is_at_hand = target.is_at_hand(now_seconds)
        arrival_seconds = 2 * target.one_way_seconds
        if not is_at_hand:
            arrival_seconds += 2 * target.one_way_seconds + CONNECT_SECONDS
        return self._context.load_estimator.place(
            listed, WorkKind.CALL, 1.0, now_seconds, arrival_seconds, is_at_hand
        )

    def places(self, service: str) -> list[TargetEstimate]:
        """Return what is believed of a service's targets; nothing if it is not placed by load."""
        if not self._context.places_by_load(service):
            return []
        now_seconds = self._context.now_seconds()
        return [
            self._place(listed, self.load(listed), now_seconds)
            for listed in self._context.directory.usable(service, now_seconds)
        ]

    def sent(self, target: ListedTarget) -> SentRequest:
        """Count a call in that is sent to a target now."""
        now_seconds = self._context.now_seconds()
        load = self.load(target)
        place = load.place or self._place(target, load, now_seconds)
        return self._context.load_estimator.sent(target, WorkKind.CALL, place, now_seconds)

    def ended(
        self, sent: SentRequest, result: TargetAnswer | TargetStream | TargetFailed | None
    ) -> None:
        """Count a call out and learn from its result; None if its caller left."""
        load_estimator = self._context.load_estimator
        load_estimator.done(sent, goes_on=isinstance(result, TargetStream))
        now_seconds = self._context.now_seconds()
        if result is None:
            load_estimator.given_up(sent, now_seconds)
        if not isinstance(result, TargetAnswer):
            return
        if result.status < 400:
            load_estimator.worked(sent, 1.0, now_seconds)
        elif result.status >= 500:
            load_estimator.failed(sent.start, now_seconds)
        # What is wrong with a request shows at once, and tells nothing of the target.

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
            self._context.load_estimator.failed(target.start, now_seconds)
        else:
            self._context.load_estimator.refused(target.start, now_seconds)
