"""Items end for good only by a table that is known to be current."""

from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items.give_up_checker import GiveUpChecker
from rackswitch.gateway.jobs.owned_job import new_owned_job
from rackswitch.gateway.tests.path import check_complete, run_scenario
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.jobs import ItemPhase
from rackswitch.jobs.tests.support import make_job
from rackswitch.standins.kv_store import KvStore
from rackswitch.standins.platform_fleet import desired_state
from rackswitch.table import Handling, RouteChoice, RouteRow, TableConfirmation, TableDocument

OWNER_REVISION = 40
NOW_SECONDS = 100.0
ROUTE = RouteRow(
    name="samples",
    choices=(RouteChoice(serves="engines"),),
    handling=Handling.BATCH,
    most_attempts=3,
    keep_seconds=40.0,
)
UNCONFIRMED = TableConfirmation()
OLDER_THAN_THE_CLAIM = TableConfirmation(OWNER_REVISION - 1, NOW_SECONDS)
CONFIRMED_LONG_AGO = TableConfirmation(OWNER_REVISION, NOW_SECONDS - 10.0)
CURRENT = TableConfirmation(OWNER_REVISION, NOW_SECONDS)


class Checked:
    """A job that was submitted some time ago, and a checker on a daemon with a table."""

    def __init__(self, confirmation, submitted_seconds=NOW_SECONDS - 1.0):
        self.context = make_gateway_context("d0", KvStore())
        self.context.daemon.view.replace_if_newer(TableDocument(5, {}))
        self.context.table_confirmation = confirmation
        self.checker = GiveUpChecker(self.context)
        self.owned = new_owned_job(make_job(), OWNER_REVISION, [], ROUTE, submitted_seconds)

    def check(self, route=None):
        self.checker.check(self.owned, route, NOW_SECONDS)

    @property
    def has_given_up(self):
        phases = {progress.phase for progress in self.owned.ledger.items.values()}
        assert phases in ({ItemPhase.WAITING}, {ItemPhase.FINISHED})
        return phases == {ItemPhase.FINISHED}


def test_accepted_items_survive_a_restart_with_a_table_from_before_their_route():
    # Guards against items listed as dead after a restart whose first, stale read lacks the route.
    async def scenario(fleet):
        routes = [route for route in desired_state(0)["routes"] if route["name"] != "samples"]
        await fleet.operate(desired_state(2, routes=routes))
        fleet.store.keep_stale_reads()
        await fleet.operate(desired_state(3))
        pieces = [3, 400, 5, 300]
        assert await fleet.submit("d0", "j1", pieces) == 202
        for name in ("d0", "d1"):
            await fleet.gateways[name].crash()
        for name in ("d0", "d1"):
            await fleet.start_gateway(name)
        check_complete(await fleet.read_all("d1", "j1", 20.0), pieces, "j1")

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("confirmation", "is_given_up"),
    [
        (UNCONFIRMED, False),
        (OLDER_THAN_THE_CLAIM, False),
        (CONFIRMED_LONG_AGO, False),
        (CURRENT, True),
    ],
)
def test_a_missing_route_ends_items_only_by_a_current_table(confirmation, is_given_up):
    # Guards against giving up items by a table that lacks their route only because it is outdated.
    async def scenario():
        checked = Checked(replace(confirmation))
        checked.check()
        assert checked.has_given_up is is_given_up

    run_on_virtual_clock(scenario())


def test_items_start_again_when_a_newer_table_has_their_route():
    # Guards against a postponed end that takes effect although the route is known by then.
    async def scenario():
        checked = Checked(replace(OLDER_THAN_THE_CLAIM))
        checked.check()
        checked.context.table_confirmation.record(OWNER_REVISION + 1, NOW_SECONDS)
        checked.check(ROUTE)
        assert not checked.has_given_up

    run_on_virtual_clock(scenario())


def test_a_postponed_end_is_logged_once_for_each_reason():
    # Guards against a log line per planning while the key-value service is unreachable.
    async def scenario():
        checked = Checked(replace(UNCONFIRMED))
        checked.context.daemon.log = EventList()
        for _ in range(3):
            checked.check()
        [event] = checked.context.daemon.log
        assert (event.reason, event.confirmed_revision) == ("its route is gone", 0)

    run_on_virtual_clock(scenario())


class EventList(list):
    """A log that keeps its events."""

    write = list.append
