"""Path delays and classes in a daemon's context, with and without several regions."""

from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.callers.target_choice import TargetChooser
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.routing import ListedTarget, PathClass, ReportedLoad, Target
from rackswitch.standins.kv_store import KvStore

REGION_OF_ZONE = {"ga": "g", "gb": "g", "pa": "p"}


def make_region_context(
    own_zone: str = "ga", regions: dict[str, str] = REGION_OF_ZONE
) -> GatewayContext:
    plain = make_gateway_context("a", KvStore())
    settings = replace(plain.settings, zone=own_zone, region_of_zone=regions)
    context = GatewayContext(settings, plain.daemon, plain.store_reachability)
    for number, zone in enumerate(REGION_OF_ZONE):
        listed = ListedTarget(f"t{number}", "s", "h", number, zone, 6)
        context.directory.put(listed)
        context.targets[listed.instance] = Target(
            listed.instance, listed.url, zone, start=listed.start
        )
    return context


def report_loads(context: GatewayContext, running: dict[str, int]) -> None:
    for listed in context.directory.entries.values():
        count = running.get(listed.instance, 0)
        report = ReportedLoad(min(6, count), max(0, count - 6), 6, None, context.now_seconds())
        context.load_estimator.record_report(listed.start, "s", report)


@pytest.mark.parametrize(
    ("regions", "far_seconds", "extra_seconds"),
    [(REGION_OF_ZONE, 0.2, 0.4), ({}, 0.0005, 0.0), ({"ga": "g", "pa": "g"}, 0.0005, 0.0)],
)
def test_measured_delays_apply_to_targets_and_timeouts_only_with_several_regions(
    regions, far_seconds, extra_seconds
):
    """Guards against other finish times and timeouts in deployments without several regions."""

    async def scenario():
        context = make_region_context(regions=regions)
        context.record_round_trip("pa", 0.4)
        assert context.targets["t0"].one_way_seconds == 0.0005
        assert context.targets["t2"].one_way_seconds == far_seconds
        assert context.extra_timeout_seconds("pa") == pytest.approx(extra_seconds)
        assert context.extra_timeout_seconds("gb") == 0.0
        context.refresh_path_delays()
        assert context.targets["t2"].one_way_seconds == pytest.approx(far_seconds)

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize(("own_zone", "targets"), [("ga", {"t0", "t1"}), ("pa", {"t2"})])
def test_calls_go_to_targets_of_the_own_region_while_these_have_room(own_zone, targets):
    """Guards against calls that cross the link between regions without need."""

    async def scenario():
        context = make_region_context(own_zone)
        chooser = TargetChooser(context)
        report_loads(context, {})
        near = {chooser.pick("s", set(), goal_seconds=1.0).instance for _ in range(100)}
        # The own region is full, then all of its targets are gone.
        report_loads(context, dict.fromkeys(targets, 200))
        away = {chooser.pick("s", set(), goal_seconds=0.1).instance for _ in range(100)}
        gone = {chooser.pick("s", targets, goal_seconds=1.0).instance for _ in range(100)}
        report_loads(context, {})
        back = {chooser.pick("s", set(), goal_seconds=1.0).instance for _ in range(100)}
        return near, away, gone, back

    near, away, gone, back = run_on_virtual_clock(scenario())
    others = {"t0", "t1", "t2"} - targets
    assert near == back == targets
    assert away == gone == others


def test_a_daemon_in_an_unknown_zone_uses_all_targets():
    """Guards against a daemon whose zone the settings do not list and that serves no calls."""

    async def scenario():
        context = make_region_context("unknown")
        report_loads(context, {})
        assert context.path_class("ga") is PathClass.OTHER_REGION
        chooser = TargetChooser(context)
        return {chooser.pick("s", set(), goal_seconds=1.0).instance for _ in range(200)}

    assert run_on_virtual_clock(scenario()) == {"t0", "t1", "t2"}
