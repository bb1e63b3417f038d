"""Orders of engines, seen from a platform that gives exactly what was ordered last."""

import asyncio
from collections import Counter

import pytest

from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.tests.support import run_virtual
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
    """Engines by place, listed to every daemon at once."""

    def __init__(self, kept: dict[str, int]):
        self.counts = Counter({(zone, False): number for zone, number in kept.items()})
        self.contexts: list = []
        self.calls: list[tuple[str, bool, int]] = []
        self.min_engines = sum(kept.values())
        self.outcome = DutyOutcome.TAKEN

    async def order_engines(self, holder, service, zone, count, reclaimable) -> DutyAnswer:
        self.calls.append((zone, reclaimable, count))
        if self.outcome is DutyOutcome.TAKEN:
            before = self.counts[zone, reclaimable]
            if count > before:
                asyncio.get_running_loop().call_later(
                    TERMS.boot_seconds, self.become, zone, reclaimable, count
                )
            else:
                self.become(zone, reclaimable, count)
        return DutyAnswer(self.outcome, "")

    def become(self, zone: str, reclaimable: bool, count: int) -> None:
        self.counts[zone, reclaimable] = count
        self.min_engines = min(self.min_engines, sum(self.counts.values()))
        for context in self.contexts:
            self.list_to(context)

    def list_to(self, context) -> None:
        context.directory.entries.clear()
        for (zone, reclaimable), number in self.counts.items():
            for engine in range(number):
                name = f"{zone}-{reclaimable}-{engine}"
                context.directory.put(
                    ListedTarget(name, "s", "h", 1, zone, 8, reclaimable=reclaimable)
                )


def start(name: str, kv: KvStore, platform: Platform, work_seconds: float, listed: bool = True):
    context = make_gateway_context(name, kv)
    context.policy = PolicySettings(engines_wanted="forecast")
    context.daemon.view.offer(TABLE)
    platform.contexts.append(context)
    if listed:
        platform.list_to(context)
    known = KnownJobs()
    marker = JobMarker("j", 10, 0.0, model="m", work_seconds=work_seconds)
    known.created(marker, 1)
    roles = RoleManager(context.daemon, lambda: [DUTIES_ROLE])
    keeper = ScalingManager(
        context, TurnManager(context, roles), platform, known, 50.0, lambda: 1.0
    )
    context.daemon.spawn_duty(roles.run())
    context.daemon.spawn_duty(keeper.run())
    return context


def test_a_holder_that_knows_its_role_before_its_engines_gives_none_back():
    async def scenario():
        platform = Platform({"a": 2, "b": 1})
        context = start("d", KvStore(), platform, 130.0, listed=False)
        await asyncio.sleep(5.0)
        assert not platform.calls
        platform.list_to(context)
        await asyncio.sleep(20.0)
        assert platform.min_engines == 3
        assert sum(platform.counts.values()) == 8
        platform.outcome = DutyOutcome.NONE_TO_BE_HAD
        await context.daemon.cancel_all()

    run_virtual(scenario())


@pytest.mark.parametrize("outcome", [DutyOutcome.NONE_TO_BE_HAD, DutyOutcome.BUSY])
def test_what_could_not_be_had_is_ordered_again_later_and_kept_engines_stay(outcome):
    async def scenario():
        platform = Platform({"a": 2, "b": 1})
        platform.outcome = outcome
        context = start("d", KvStore(), platform, 130.0)
        await asyncio.sleep(10.0)
        assert platform.calls
        platform.outcome = DutyOutcome.TAKEN
        await asyncio.sleep(40.0)
        assert platform.min_engines == 3
        assert sum(platform.counts.values()) >= 8
        await context.daemon.cancel_all()

    run_virtual(scenario())


def test_a_successor_goes_by_what_was_ordered():
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

    run_virtual(scenario())


def test_a_lasting_surplus_is_given_back_to_what_is_wanted_and_no_further():
    async def scenario():
        platform = Platform({"a": 4, "b": 4})
        context = start("d", KvStore(), platform, 60.0)
        await asyncio.sleep(90.0)
        assert 4 <= sum(platform.counts.values()) <= 5
        assert platform.min_engines >= 4
        await context.daemon.cancel_all()

    run_virtual(scenario())
