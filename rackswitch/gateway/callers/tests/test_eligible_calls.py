"""Calls whose targets are excluded: by an evacuation, or by the regions that they allow."""

import asyncio
import random
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.gateway.callers.target_choice import TargetChooser
from rackswitch.gateway.callers.tests.test_call_admission import SERVICE, FullTargets
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.requests import Call, TargetAnswer, TargetFailed
from rackswitch.routing import Eligibility, ListedTarget, RegionMap, Target, TargetEstimate
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import Handling, RouteChoice, RouteRow, StoredRow, TableDocument, TenantRow
from rackswitch.telemetry.events import TargetsExcluded
from rackswitch.tenants import Caller

REGION_OF_ZONE = {"n1": "north", "n2": "north", "s1": "south"}


class RecordingTargets(FullTargets):
    """Targets that record which of them was called; `before` runs at the start of each call."""

    def __init__(self, slots: int = 100):
        super().__init__(slots)
        self.called: list[str] = []
        self.refusing: set[str] = set()
        self.before = lambda target: None

    async def forward(self, target, call, deadline_seconds, fresh_connection):
        self.called.append(target.instance)
        self.before(target)
        if target.instance in self.refusing:
            await asyncio.sleep(0.001)
            return TargetFailed(False, "the target did not begin: status 503")
        return await super().forward(target, call, deadline_seconds, fresh_connection)


class WaitingQuarantine(NoQuarantine):
    """Runs `meanwhile` while it is asked before a send; records requests that were not run."""

    def __init__(self):
        self.meanwhile = lambda: None
        self.delay_seconds = 0.05
        self.not_run = 0

    async def admit(self, fingerprint_of, deadline_seconds, may_claim=True):
        if may_claim:
            await asyncio.sleep(self.delay_seconds)
            self.meanwhile()

    def record_not_run(self, fingerprint_of):
        self.not_run += 1


class Daemon:
    """A dispatcher with one target in each zone."""

    def __init__(self, targets, queues_calls=False, region_of_zone=REGION_OF_ZONE):
        self.context = make_gateway_context("a", KvStore())
        self.context.settings = replace(self.context.settings, queues_calls=queues_calls)
        self.eligibility = Eligibility(RegionMap("n1", region_of_zone))
        self.context.directory.eligibility = self.eligibility
        self.events: list = []
        self.context.daemon.log = self
        for zone in REGION_OF_ZONE:
            listed = ListedTarget(f"t-{zone}", SERVICE, "h", 1, zone)
            self.context.directory.put(listed)
            self.context.targets[listed.instance] = Target(listed.instance, listed.url, zone)
        self.quarantine = WaitingQuarantine()
        self.targets = targets
        self.dispatcher = RequestDispatcher(
            self.context, TargetChooser(self.context), targets, self.quarantine, self.estimates
        )

    def estimates(self, service):
        return [
            TargetEstimate(
                f"t-{zone}", self.targets.slots, self.targets.running, 0.0, 1.0, 0.04, 0.0, 0.001
            )
            for zone in REGION_OF_ZONE
        ]

    def write(self, event) -> None:
        self.events.append(event)

    def evacuate(self, *zones: str) -> None:
        for zone in zones:
            self.eligibility.evacuate(zone, 1, self.context.now_seconds())
        self.dispatcher.record_targets_excluded()

    def add_tenant(self, name: str, *regions: str) -> None:
        row = TenantRow(name=name, allowed_regions=regions)
        rows = {**self.context.daemon.view.document.rows, f"tenant/{name}": StoredRow(1, row)}
        revision = self.context.table_revision + 1
        self.context.daemon.view.replace_if_newer(TableDocument(revision, rows))

    def call(self, name="r", regions=(), tenant="", attempts=3, **options):
        route = RouteRow(
            name="checks",
            choices=(RouteChoice(serves=SERVICE),),
            handling=Handling.REPEATABLE,
            goal_seconds=0.2,
            most_attempts=attempts,
            allowed_regions=regions,
        )
        call = Call(name, "h", "POST", "/", (), b"b", Caller(tenant))
        log = self.dispatcher.new_log(route)
        deadline_seconds = self.context.now_seconds() + 2.0
        return asyncio.create_task(
            self.dispatcher.call(route, call, deadline_seconds, log, **options), name=name
        )


def check_refused(daemon: Daemon, answer, reason: str) -> None:
    outcome = answer.outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is NotRunReason.NO_TARGET
    assert reason in outcome.detail
    assert outcome.retry_at_seconds > daemon.context.now_seconds()
    (event,) = [event for event in daemon.events if isinstance(event, TargetsExcluded)]
    assert event.reasons.get(reason)


@pytest.mark.parametrize("queues_calls", [False, True])
def test_with_all_zones_evacuated_a_call_is_refused_at_once_as_not_run(queues_calls):
    async def scenario():
        daemon = Daemon(RecordingTargets(), queues_calls)
        daemon.evacuate(*REGION_OF_ZONE)
        started_seconds = daemon.context.now_seconds()
        answer = await daemon.call()
        assert daemon.context.now_seconds() == started_seconds
        check_refused(daemon, answer, "zone evacuated")
        assert not daemon.targets.called
        daemon.eligibility.end_evacuation("n1")
        assert isinstance((await daemon.call()).outcome, TargetAnswer)
        assert daemon.targets.called == ["t-n1"]

    run_on_virtual_clock(scenario())


def test_lists_that_exclude_each_other_leave_no_target():
    """The intersection is empty, which must not be read as no restriction."""

    async def scenario():
        daemon = Daemon(RecordingTargets())
        daemon.add_tenant("acme", "south")
        check_refused(
            daemon, await daemon.call(regions=("north",), tenant="acme"), "region not allowed"
        )
        assert not daemon.targets.called

    run_on_virtual_clock(scenario())


def test_a_call_stays_in_the_regions_of_its_route_and_tenant():
    async def scenario():
        daemon = Daemon(RecordingTargets())
        daemon.add_tenant("acme", "south")
        for number in range(20):
            await daemon.call(f"r{number}", tenant="acme")
        assert set(daemon.targets.called) == {"t-s1"}
        daemon.targets.called.clear()
        for number in range(20):
            await daemon.call(f"r{number}", regions=("north",))
        assert set(daemon.targets.called) <= {"t-n1", "t-n2"}

    run_on_virtual_clock(scenario())


def test_a_retry_goes_neither_to_another_region_nor_to_an_evacuated_zone():
    async def scenario():
        daemon = Daemon(RecordingTargets())
        daemon.targets.refusing = {"t-n1", "t-n2"}

        def evacuate_the_other(target):
            daemon.evacuate("n2" if target.zone == "n1" else "n1")

        daemon.targets.before = evacuate_the_other
        answer = await daemon.call(regions=("north",), attempts=2)
        assert isinstance(answer.outcome, NotRun)
        assert len(set(daemon.targets.called)) == 1

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("queues_calls", [False, True])
def test_a_call_held_over_the_moment_of_evacuation_goes_to_another_zone(queues_calls):
    """Its target was chosen before; a send without a second check would reach the zone."""

    async def scenario():
        daemon = Daemon(RecordingTargets(), queues_calls)
        daemon.quarantine.meanwhile = lambda: daemon.evacuate("n1", "n2")
        answer = await daemon.call()
        assert isinstance(answer.outcome, TargetAnswer)
        assert daemon.targets.called == ["t-s1"]

    run_on_virtual_clock(scenario())


def test_a_held_call_without_another_target_frees_its_trial():
    """Otherwise quarantine would count a trial that never took place."""

    async def scenario():
        daemon = Daemon(RecordingTargets())
        daemon.quarantine.meanwhile = lambda: daemon.evacuate(*REGION_OF_ZONE)
        check_refused(daemon, await daemon.call(), "zone evacuated")
        assert daemon.quarantine.not_run == 1
        assert not daemon.targets.called

    run_on_virtual_clock(scenario())


def test_queued_calls_are_released_when_their_last_eligible_target_is_excluded():
    async def scenario():
        targets = RecordingTargets(slots=1)
        targets.work_seconds = 0.5
        daemon = Daemon(targets, queues_calls=True)
        daemon.quarantine.delay_seconds = 0.0
        running = [daemon.call(f"b{number}", regions=("south",)) for number in range(3)]
        await asyncio.sleep(0.01)
        southern = daemon.call("s", regions=("south",))
        northern = daemon.call("n", regions=("north",))
        await asyncio.sleep(0.01)
        assert not southern.done()
        released_at_seconds = daemon.context.now_seconds()
        daemon.evacuate("s1")
        answer = await southern
        assert daemon.context.now_seconds() == released_at_seconds
        assert isinstance(answer.outcome, NotRun)
        assert "zone evacuated" in answer.outcome.detail
        assert not northern.done()
        await northern
        excluded = [e.request for e in daemon.events if isinstance(e, TargetsExcluded)]
        assert "s" in excluded
        assert "n" not in excluded
        # The call that ran in the zone when it was evacuated finishes there.
        outcomes = [(await task).outcome for task in running]
        assert any(isinstance(outcome, TargetAnswer) for outcome in outcomes)

    run_on_virtual_clock(scenario())


def test_without_restrictions_targets_are_chosen_as_in_a_deployment_without_regions():
    """The name of a single region in the settings must change no decision."""

    async def choices(region_of_zone):
        daemon = Daemon(RecordingTargets(), region_of_zone=region_of_zone)
        daemon.context.daemon.rng = random.Random(5)
        daemon.dispatcher._chooser = TargetChooser(daemon.context)
        for number in range(40):
            await daemon.call(f"r{number}")
        return daemon.targets.called

    single_region = dict.fromkeys(REGION_OF_ZONE, "north")
    assert run_on_virtual_clock(choices(single_region)) == run_on_virtual_clock(choices({}))


def test_a_tenant_restricts_the_reward_calls_of_its_steps():
    """A reward call carries no tenant, and must not leave the regions of its step's tenant."""

    async def scenario():
        daemon = Daemon(RecordingTargets())
        daemon.add_tenant("restricted", "south")
        for number in range(10):
            await daemon.call(f"r{number}", reward_of="restricted")
        return set(daemon.targets.called)

    assert run_on_virtual_clock(scenario()) == {"t-s1"}
