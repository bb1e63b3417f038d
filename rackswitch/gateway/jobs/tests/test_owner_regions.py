"""Which daemons may own a job, by the regions that its route and tenant allow."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.jobs.job_claims import JobClaims
from rackswitch.gateway.jobs.job_placer import JobPlacer
from rackswitch.gateway.jobs.job_records import make_marker
from rackswitch.gateway.jobs.known_jobs import JobOwner
from rackswitch.gateway.jobs.owned_job import new_owned_job
from rackswitch.gateway.jobs.tests.test_job_manager import make_job_manager
from rackswitch.jobs import OrphanedJobs
from rackswitch.jobs.tests.support import make_job
from rackswitch.membership import VmEntry
from rackswitch.routing import Eligibility, ListedTarget, RegionMap
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import (
    Handling,
    RouteChoice,
    RouteRow,
    StoredRow,
    TableDocument,
    TenantRow,
    index_routes,
)

ZONE_OF = {"a": "n1", "b": "n2", "c": "s1", "d": "w1"}
REGION_OF_ZONE = {"n1": "north", "n2": "north", "s1": "south", "w1": "west"}


def make_manager(kv: KvStore, route_regions=(), tenant_regions=()):
    """Return the job manager of daemon `a` in zone `n1`, which knows the others."""
    manager = make_job_manager("a", kv)
    context = manager._context
    context.settings = replace(context.settings, zone="n1")
    membership = context.daemon.membership
    membership.own = replace(membership.own, zone="n1")
    context.directory.eligibility = Eligibility(RegionMap("n1", REGION_OF_ZONE))
    others = [VmEntry(name, "h", 1, zone, False) for name, zone in ZONE_OF.items() if name != "a"]
    membership.update_from_complete_list(others, 0.0)
    route = RouteRow(
        name="r",
        choices=(RouteChoice(serves="s"),),
        host="h",
        path_prefix="/",
        handling=Handling.BATCH,
        allowed_regions=route_regions,
    )
    tenant = TenantRow(name="acme", allowed_regions=tenant_regions)
    table = TableDocument(1, {"route/r": StoredRow(1, route), "tenant/acme": StoredRow(1, tenant)})
    context.daemon.view.replace_if_newer(table)
    context.routes = index_routes(table)
    return manager


def make_home_job(home_region: str):
    return msgspec.structs.replace(
        make_job(job_id="acme\nj"), tenant="acme", home_region=home_region
    )


@pytest.mark.parametrize(
    ("route_regions", "tenant_regions", "home_region", "successors"),
    [
        ((), (), "north", {"b", "c", "d"}),
        (("south",), (), "north", {"b", "c"}),
        ((), ("south",), "west", {"c", "d"}),
        (("south", "west"), ("south",), "north", {"b", "c"}),
        (("south",), ("west",), "north", {"b"}),
    ],
)
def test_a_stopping_owner_offers_a_job_only_in_its_regions(
    route_regions, tenant_regions, home_region, successors
):
    """A body must not reach a VM that is neither in an allowed region nor in the caller's own."""

    async def scenario():
        manager = make_manager(KvStore(), route_regions, tenant_regions)
        job = make_home_job(home_region)
        owned = new_owned_job(job, 1, [], None, 0.0)
        assert set(manager._sender._successors(owned)) == successors

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize(
    ("regions", "home_region", "is_claimed"),
    [
        ((), "south", True),
        (("north",), "south", True),
        (("south",), "north", True),
        (("south",), "west", False),
    ],
)
def test_an_orphaned_job_is_claimed_in_another_region_only_if_it_is_allowed(
    monkeypatch, regions, home_region, is_claimed
):
    async def scenario():
        kv = KvStore()
        manager = make_manager(kv, regions)
        claimed: list[str] = []

        async def claim(self, job_id, marker_revision):
            claimed.append(job_id)

        monkeypatch.setattr(JobClaims, "claim", claim)
        job = make_home_job(home_region)
        manager.known.record_created(make_marker(job), 1)
        for _ in range(60):
            manager._claims.claim_due()
            await asyncio.sleep(0.1)
        assert bool(claimed) is is_claimed

    run_on_virtual_clock(scenario())


def test_daemons_that_may_not_claim_do_not_delay_those_that_may(monkeypatch):
    """Ranks are given among the daemons of allowed regions only."""

    async def scenario():
        manager = make_manager(KvStore(), ("north",))
        claims = manager._claims
        seen: list[list[str]] = []

        def try_claim(self, name, live_daemons, *others):
            seen.append(live_daemons)
            return False

        monkeypatch.setattr(OrphanedJobs, "try_claim", try_claim)
        marker = make_marker(make_home_job("north"))
        manager.known.record_created(marker, 1)
        claims.claim_due()
        assert seen == [["a", "b"]]

    run_on_virtual_clock(scenario())


def test_a_new_job_is_placed_in_the_accepting_daemons_region():
    async def scenario():
        manager = make_manager(KvStore(), ("south",))
        placer = JobPlacer(manager._context, manager)
        other = make_job(job_id="other")
        manager.known.record_created(make_marker(other), 1)
        manager.known.record_owner("other", JobOwner("c", 1, 0))
        job = make_home_job("north")
        assert placer._owner(job, placer._candidates(job)) == "a"

    run_on_virtual_clock(scenario())


def test_a_successor_knows_engines_that_are_excluded_now():
    """A hand-over during an evacuation must not fail at every daemon; its items wait."""

    async def scenario():
        manager = make_manager(KvStore())
        job = make_home_job("north")
        receiver, directory = manager._receiver, manager._context.directory
        assert not receiver._can_run(job)
        directory.put(ListedTarget("e", "s", "h", 1, "s1"))
        assert receiver._can_run(job)
        directory.eligibility.evacuate("s1", 1, 0.0)
        assert receiver._can_run(job)

    run_on_virtual_clock(scenario())


def test_markers_hold_a_route_only_in_a_deployment_with_regions():
    """Every daemon watches markers, so others must not pay for the fields."""
    plain = make_marker(make_job())
    assert (plain.host, plain.path, plain.home_region) == ("", "", "")
    assert b"home_region" not in msgspec.json.encode(plain)
    marker = make_marker(make_home_job("north"))
    assert (marker.host, marker.path, marker.home_region) == ("h", "/p", "north")
