"""Engine orders against a simulated platform that provides exactly the last ordered counts."""

import asyncio
from collections import Counter

import pytest

from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.duties.duty_turn import DUTIES_ROLE
from rackswitch.gateway.duties.scaling_manager import ScalingManager
from rackswitch.gateway.jobs.job_records import JobMarker
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.gateway.turns import TurnManager
from rackswitch.platform.duty_calls import DutyAnswer, DutyOutcome
from rackswitch.routing import ListedTarget
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import ScalingTerms, ServiceRow, StoredRow, TableDocument

PRICES = {"a": 1.0, "b": 0.8}
TERMS = ScalingTerms(least=1, most=6, boot_seconds=4.0, reclaimable_price=0.15, zone_prices=PRICES)
ROW = ServiceRow(name="s", slots=8, models=("m",), scaling=TERMS)
TABLE = TableDocument(1, {"service/s": StoredRow(1, ROW)})


class Platform:
    """Engine counts by location, listed to every daemon without delay."""

    def __init__(self, initial_counts: dict[str, int]):
        self.counts = Counter({(zone, False): count for zone, count in initial_counts.items()})
        self.contexts: list = []
        self.calls: list[tuple[str, bool, int]] = []
        self.min_engines = sum(initial_counts.values())
        self.outcome = DutyOutcome.ACCEPTED

    async def order_engines(self, holder, service, zone, count, reclaimable) -> DutyAnswer:
        self.calls.append((zone, reclaimable, count))
        if self.outcome is DutyOutcome.ACCEPTED:
            previous_count = self.counts[zone, reclaimable]
            if count > previous_count:
                asyncio.get_running_loop().call_later(
                    TERMS.boot_seconds, self.set_count, zone, reclaimable, count
                )
            else:
                self.set_count(zone, reclaimable, count)
        return DutyAnswer(self.outcome, "")

    def set_count(self, zone: str, reclaimable: bool, count: int) -> None:
        self.counts[zone, reclaimable] = count
        self.min_engines = min(self.min_engines, sum(self.counts.values()))
        for context in self.contexts:
            self.list_engines(context)

    def list_engines(self, context) -> None:
        context.directory.entries.clear()
        for (zone, reclaimable), count in self.counts.items():
            for engine in range(count):
                name = f"{zone}-{reclaimable}-{engine}"
                context.directory.put(
                    ListedTarget(name, "s", "h", 1, zone, 8, reclaimable=reclaimable)
                )


def start(name: str, kv: KvStore, platform: Platform, work_seconds: float, listed: bool = True):
    context = make_gateway_context(name, kv)
    context.policy = PolicySettings(engines_wanted="forecast")
    context.daemon.view.replace_if_newer(TABLE)
    platform.contexts.append(context)
    if listed:
        platform.list_engines(context)
    known = KnownJobs()
    marker = JobMarker("j", 10, 0.0, model="m", work_seconds=work_seconds)
    known.record_created(marker, 1)
    roles = RoleManager(context.daemon, lambda: [DUTIES_ROLE])
    manager = ScalingManager(
        context, TurnManager(context, roles), platform, known, 50.0, lambda: 1.0
    )
    context.daemon.spawn_duty(roles.run())
    context.daemon.spawn_duty(manager.run())
    return context


def test_removes_no_engines_when_the_role_is_held_before_engines_are_listed():
    async def scenario():
        platform = Platform({"a": 2, "b": 1})
        context = start("d", KvStore(), platform, 130.0, listed=False)
        await asyncio.sleep(5.0)
        assert not platform.calls
        platform.list_engines(context)
        await asyncio.sleep(20.0)
        assert platform.min_engines == 3
        assert sum(platform.counts.values()) == 8
        platform.outcome = DutyOutcome.NONE_AVAILABLE
        await context.daemon.cancel_all()

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("outcome", [DutyOutcome.NONE_AVAILABLE, DutyOutcome.BUSY])
def test_repeats_unfulfilled_orders_and_keeps_existing_engines(outcome):
    async def scenario():
        platform = Platform({"a": 2, "b": 1})
        platform.outcome = outcome
        context = start("d", KvStore(), platform, 130.0)
        await asyncio.sleep(10.0)
        assert platform.calls
        platform.outcome = DutyOutcome.ACCEPTED
        await asyncio.sleep(40.0)
        assert platform.min_engines == 3
        assert sum(platform.counts.values()) >= 8
        await context.daemon.cancel_all()

    run_on_virtual_clock(scenario())


def test_a_new_holder_continues_from_the_stored_orders():
    async def scenario():
        platform = Platform({"a": 2, "b": 1})
        kv = KvStore()
        first = start("d", kv, platform, 130.0)
        while not platform.calls:
            await asyncio.sleep(0.1)
        await first.daemon.cancel_all()
        for lease_id in list(kv.leases):
            kv.end_lease(lease_id)
        second = start("e", kv, platform, 130.0)
        await asyncio.sleep(40.0)
        assert platform.min_engines == 3
        assert sum(platform.counts.values()) == 8
        await second.daemon.cancel_all()

    run_on_virtual_clock(scenario())


def test_removes_a_lasting_surplus_down_to_the_wanted_count():
    async def scenario():
        platform = Platform({"a": 4, "b": 4})
        context = start("d", KvStore(), platform, 60.0)
        await asyncio.sleep(90.0)
        assert 4 <= sum(platform.counts.values()) <= 5
        assert platform.min_engines >= 4
        await context.daemon.cancel_all()

    run_on_virtual_clock(scenario())


def test_engines_of_an_evacuated_zone_are_replaced_in_the_other_zones_only():
    """New engines in the evacuated zone could serve nothing, and its own must not be released."""

    async def scenario():
        platform = Platform({"a": 4, "b": 4})
        context = start("d", KvStore(), platform, 120.0)
        await asyncio.sleep(6.0)
        platform.calls.clear()
        context.directory.eligibility.evacuate("a", 1, context.now_seconds())
        await asyncio.sleep(20.0)
        assert platform.calls
        assert {zone for zone, _, _ in platform.calls} == {"b"}
        assert platform.counts["a", False] == 4
        assert sum(count for (zone, _), count in platform.counts.items() if zone == "b") == 6
        await context.daemon.cancel_all()

    run_on_virtual_clock(scenario())
