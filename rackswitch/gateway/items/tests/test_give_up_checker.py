"""Items end for good only by a table that is known to be current."""

from dataclasses import replace

import msgspec
import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items.give_up_checker import GiveUpChecker
from rackswitch.gateway.jobs.owned_job import new_owned_job
from rackswitch.gateway.tests.path import check_complete, run_scenario
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.jobs import ItemPhase, JobLedger, TextPiece
from rackswitch.jobs.tests.support import finish, make_job
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


@pytest.mark.parametrize(
    ("confirmation", "keep_seconds", "is_given_up"),
    [(UNCONFIRMED, 40.0, False), (CURRENT, 40.0, True), (CURRENT, 60.0, False)],
)
def test_items_are_kept_as_long_as_the_current_table_says(confirmation, keep_seconds, is_given_up):
    # Guards against items that end by the keep time of the table that their job was adopted with.
    async def scenario():
        checked = Checked(replace(confirmation), submitted_seconds=NOW_SECONDS - 50.0)
        checked.check(msgspec.structs.replace(ROUTE, keep_seconds=keep_seconds))
        assert checked.has_given_up is is_given_up

    run_on_virtual_clock(scenario())


def test_a_shorter_keep_time_does_not_apply_to_accepted_jobs():
    # Guards against giving up items that their submitter may still rely on.
    owned = new_owned_job(make_job(), OWNER_REVISION, [], ROUTE, 0.0)
    owned.apply_route(msgspec.structs.replace(ROUTE, keep_seconds=5.0))
    assert owned.keep_until_seconds == ROUTE.keep_seconds


def test_a_job_adopted_without_a_route_gets_its_limits_when_the_route_is_known():
    # Guards against the default limits of a job whose route a restarted daemon did not know yet.
    owned = new_owned_job(make_job(), OWNER_REVISION, [], None, 10.0)
    route = msgspec.structs.replace(ROUTE, most_attempts=2, single_version=True, due_seconds=8.0)
    owned.apply_route(route)
    assert (owned.ledger.max_failures, owned.ledger.single_version) == (2, True)
    assert (owned.due_seconds, owned.keep_until_seconds) == (18.0, 50.0)


@pytest.mark.parametrize("most_attempts", [2, 3])
def test_too_many_failures_end_an_item_only_by_a_current_table(most_attempts):
    # Guards against an item listed as dead although the table in force allows another attempt.
    async def scenario():
        checked = Checked(replace(UNCONFIRMED))
        checked.owned.ledger.limits_are_current = lambda: False
        progress = checked.owned.ledger.items["i0"]
        for _ in range(2):
            checked.owned.ledger.record_start(progress)
            checked.owned.ledger.record_failure(progress, 0.0)
        stale_route = msgspec.structs.replace(ROUTE, most_attempts=2)
        checked.check(stale_route)
        assert progress.result is None
        assert progress not in checked.owned.ledger.startable_items(NOW_SECONDS)
        checked.context.table_confirmation.record(OWNER_REVISION, NOW_SECONDS)
        checked.check(msgspec.structs.replace(ROUTE, most_attempts=most_attempts))
        may_start = progress in checked.owned.ledger.startable_items(NOW_SECONDS)
        assert may_start is (most_attempts == 3)
        assert (progress.result is None) is may_start

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("single_version", [False, True])
def test_a_text_of_several_versions_is_listed_only_by_a_confirmed_table(single_version):
    # Guards against a text of two versions on a route that an outdated table says allows them.
    async def scenario():
        checked = Checked(replace(UNCONFIRMED))
        ledger = checked.owned.ledger
        ledger.limits_are_confirmed = lambda: checked.context.table_confirmation.covers(
            OWNER_REVISION
        )
        progress = ledger.items["i0"]
        ledger.record_start(progress)
        for number in (1, 2):
            progress.accept(TextPiece(number, "a", version=number), 0)
        ledger.record_complete_text(progress)
        checked.check(ROUTE)
        assert progress.phase is ItemPhase.UNCONFIRMED
        # However long ago: an outage of the service must not delay the text's reward call.
        checked.context.table_confirmation.record(OWNER_REVISION, NOW_SECONDS - 60.0)
        checked.check(msgspec.structs.replace(ROUTE, single_version=single_version))
        expected_phase = ItemPhase.WAITING if single_version else ItemPhase.FINISHED
        assert progress.phase is expected_phase
        assert progress.pieces == []

    run_on_virtual_clock(scenario())


def test_failed_reward_calls_end_an_item_only_by_current_limits():
    # Guards against an item listed as dead by the attempts that an outdated table allows.
    ledger = JobLedger(make_job(reward=True))
    finish(ledger, "i0")
    progress = ledger.items["i0"]
    ledger.limits_are_current = lambda: False
    assert ledger.record_reward_failures(progress, 2, max_failures=2)
    ledger.limits_are_current = lambda: True
    assert not ledger.record_reward_failures(progress, 0, max_failures=2)
    assert progress.result is not None


class EventList(list):
    """A log that keeps its events."""

    write = list.append
