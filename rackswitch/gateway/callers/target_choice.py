"""Choosing targets for calls and recording the results in the load estimates."""

import math
from dataclasses import replace

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
    call_candidates,
    usable_targets,
)
from rackswitch.table import RouteChoice, RouteRow

__all__ = ["CALL_COST_TOKENS", "TargetChooser"]

DEFAULT_POLICY = "at_hand"
"""Prefers targets with an open connection: a new one costs more than a short queue."""

REPORTED_LOAD_POLICY = "nearly_best"
"""For services whose targets are chosen by their reported load."""

CONNECT_SECONDS = 0.001
"""Time to open a connection, besides its network round trip."""

CALL_COST_TOKENS = 20.0
"""Weight of a call in a target's load."""


class TargetChooser:
    """Applies a routing policy to the usable targets of a service.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = ("_by_load", "_context", "_policy")

    def __init__(self, context: GatewayContext):
        self._context = context
        self._policy = POLICIES.get(DEFAULT_POLICY)(context.rng)
        self._by_load = POLICIES.get(REPORTED_LOAD_POLICY)(context.rng)

    def draw_choice(self, route: RouteRow) -> RouteChoice:
        """Choose one of a route's choices at random, by weight."""
        weights = [choice.weight for choice in route.choices]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.choices[0]
        return self._context.rng.choices(route.choices, weights)[0]

    def pick(
        self,
        service: str,
        tried: set[str],
        allowed_regions: frozenset[str] | None = None,
        goal_seconds: float = 0.0,
    ) -> ListedTarget | None:
        """Return a target of a service that is not in `tried`, or None.

        With several regions, one of this daemon's region if it can serve a call within its latency
        target.

        Parameters
        ----------
        service : str
            The service.
        tried : set of str
            Instances of targets that are left out.
        allowed_regions : frozenset of str or None, optional
            Regions in which the call may run; None for all.
        goal_seconds : float, optional
            Latency target of the call.
        """
        now_seconds = self._context.now_seconds()
        listed = {
            entry.instance: entry
            for entry in self._context.directory.usable(service, now_seconds, allowed_regions)
            if entry.instance not in tried
        }
        listed = self._sendable(listed, now_seconds)
        if not listed:
            return None
        targets = [self._context.targets[instance] for instance in listed]
        if self._context.chooses_targets_by_load(service):
            return listed[self._choose_by_load(service, listed, targets, goal_seconds).name]
        routed = RoutedRequest(0.0, CALL_COST_TOKENS, (), now_seconds)
        chosen = self._policy.choose(routed, usable_targets(targets, now_seconds))
        return listed[chosen.name]

    def is_held(self, service: str, allowed_regions: frozenset[str] | None = None) -> bool:
        """Return whether all targets that may serve a call are too cold for it now.

        False if no target is usable.
        """
        now_seconds = self._context.now_seconds()
        usable = self._context.directory.usable(service, now_seconds, allowed_regions)
        listed = {entry.instance: entry for entry in usable}
        return bool(listed) and not self._sendable(listed, now_seconds)

    def _sendable(
        self, listed: dict[str, ListedTarget], now_seconds: float
    ) -> dict[str, ListedTarget]:
        """Return the warm targets or, if there are none, the cold ones that may be sent to now."""
        cold_sends = self._context.cold_sends
        cold = {
            name: entry
            for name, entry in listed.items()
            if cold_sends.is_limited(entry, now_seconds)
        }
        if len(cold) < len(listed):
            return {name: entry for name, entry in listed.items() if name not in cold}
        return {
            name: entry
            for name, entry in cold.items()
            if cold_sends.may_send(entry, WorkKind.CALL, now_seconds)
        }

    def _choose_by_load(
        self,
        service: str,
        listed: dict[str, ListedTarget],
        targets: list[Target],
        goal_seconds: float,
    ) -> Target:
        """Return a target of a service whose targets are chosen by reported load."""
        now_seconds = self._context.now_seconds()
        usable = usable_targets(targets, now_seconds)
        for target in usable:
            target.estimate = self._estimate(listed[target.name], target, now_seconds)
        run_seconds = self._context.load_estimator.typical_run_seconds(service, WorkKind.CALL)
        if self._context.regions.has_regions:
            usable = _near_targets(usable, run_seconds, goal_seconds)
        routed = RoutedRequest(0.0, CALL_COST_TOKENS, (), now_seconds, run_seconds)
        return self._by_load.choose(routed, usable)

    def _estimate(self, listed: ListedTarget, target: Target, now_seconds: float) -> TargetEstimate:
        """Return the load estimate of a target for one call."""
        has_open_connection = target.has_idle_connection(now_seconds)
        arrival_seconds = 2 * target.one_way_seconds
        if not has_open_connection:
            arrival_seconds += 2 * target.one_way_seconds + CONNECT_SECONDS
        return self._context.load_estimator.estimate(
            listed,
            WorkKind.CALL,
            1.0,
            now_seconds,
            arrival_seconds,
            has_open_connection,
            self._context.path_class(listed.zone),
        )

    def estimates(
        self, service: str, allowed_regions: frozenset[str] | None = None
    ) -> list[TargetEstimate]:
        """Return the estimates of a service's targets; none if they are not chosen by load."""
        if not self._context.chooses_targets_by_load(service):
            return []
        now_seconds = self._context.now_seconds()
        estimates = [
            self._capacity_estimate(listed, now_seconds)
            for listed in self._context.directory.usable(service, now_seconds, allowed_regions)
        ]
        return [estimate for estimate in estimates if estimate.slots > 0]

    def _capacity_estimate(self, listed: ListedTarget, now_seconds: float) -> TargetEstimate:
        """Return the estimate of a target with the slots that this daemon may use.

        A cold target has as many slots as its budget allows sends in the time of a call; none if
        other daemons are its senders.
        """
        estimate = self._estimate(listed, self.target_state(listed), now_seconds)
        cold_sends = self._context.cold_sends
        if not cold_sends.is_limited(listed, now_seconds):
            return estimate
        rate_per_second = cold_sends.send_rate(listed, WorkKind.CALL, now_seconds)
        slots = min(estimate.slots, math.ceil(rate_per_second * estimate.unit_seconds))
        scale = slots / max(1, estimate.slots)
        return replace(
            estimate,
            slots=slots,
            running=estimate.running * scale,
            waiting=estimate.waiting * scale,
        )

    def record_send(self, target: ListedTarget) -> SentRequest:
        """Record that a call is sent to a target now."""
        now_seconds = self._context.now_seconds()
        target_state = self.target_state(target)
        estimate = target_state.estimate or self._estimate(target, target_state, now_seconds)
        return self._context.load_estimator.record_send(
            target, WorkKind.CALL, estimate, now_seconds
        )

    def record_end(
        self, sent_request: SentRequest, result: TargetAnswer | TargetStream | TargetFailed | None
    ) -> None:
        """Record the end of a call; `result` is None if the caller disconnected."""
        load_estimator = self._context.load_estimator
        load_estimator.record_end(
            sent_request, continues_unobserved=isinstance(result, TargetStream)
        )
        now_seconds = self._context.now_seconds()
        if self._context.cold_sends.is_limited(sent_request, now_seconds):
            # The slowness of a cold target says nothing about its pace once it is warm.
            return
        if result is None:
            load_estimator.record_abandoned(sent_request, now_seconds)
        if not isinstance(result, TargetAnswer):
            return
        if result.status < 400:
            load_estimator.record_completion(sent_request, 1.0, now_seconds)
        elif result.status >= 500:
            load_estimator.record_failure(sent_request.start, now_seconds)
        # A client error is answered at once and says nothing about the target's speed.

    def target_state(self, target: ListedTarget) -> Target:
        """Return the load, speed and health of a target."""
        return self._context.targets[target.instance]

    def record_failure(self, target: ListedTarget, failure: TargetFailed) -> None:
        """Record a call without an answer."""
        target_state = self.target_state(target)
        now_seconds = self._context.now_seconds()
        if failure.is_other_target:
            self._context.directory.remove_replaced(target.instance)
        elif self._context.cold_sends.is_limited(target, now_seconds):
            # It is expected to be slow and to refuse calls until it is warm.
            return
        elif failure.is_unresponsive:
            target_state.record_no_response(now_seconds)
        elif failure.may_have_run:
            target_state.record_failure(now_seconds)
            self._context.load_estimator.record_failure(target.start, now_seconds)
        else:
            self._context.load_estimator.record_refusal(target.start, now_seconds)


def _near_targets(targets: list[Target], run_seconds: float, goal_seconds: float) -> list[Target]:
    """Return the targets that a call may use, in view of their regions."""
    estimates = [target.estimate for target in targets if target.estimate is not None]
    candidates = call_candidates(estimates, 1.0, run_seconds, goal_seconds)
    names = {estimate.instance for estimate in candidates}
    return [target for target in targets if target.name in names]
