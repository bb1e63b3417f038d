"""The log names where a table came from and by which table a request was routed."""

import asyncio

import msgspec
import pytest

from rackswitch.clients.kv import KvEntry, WatchUpdate
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.store.replica_set import ReplicaSet
from rackswitch.gateway.store.state_manager import StateManager
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.platform.names import CONFIG_KEY, OPERATOR_PREFIX
from rackswitch.standins.kv_store import KvStore


class EventList(list):
    """A log that keeps its events."""

    write = list.append


def test_a_table_is_logged_with_its_source_and_the_age_of_the_replica():
    async def scenario():
        context = make_gateway_context("a", KvStore())
        context.daemon.log = EventList()
        state = StateManager(context, QuarantineManager(context, lambda: True).end_detector)
        replicas = ReplicaSet({OPERATOR_PREFIX: state.operator_handlers()})
        replicas.confirm(OPERATOR_PREFIX, context.now_seconds())
        await asyncio.sleep(0.75)
        replicas.apply_changes(OPERATOR_PREFIX, table_update(version=3, revision=70), "b")
        replicas.apply_changes(OPERATOR_PREFIX, table_update(version=4, revision=72))
        first, second = context.daemon.log
        assert (first.revision, first.entry_revision, first.received_from) == (3, 70, "b")
        assert first.unconfirmed_seconds == pytest.approx(0.75, abs=0.01)
        assert (second.entry_revision, second.received_from) == (72, "")
        await asyncio.sleep(1.5)
        assert context.table_in_use().revision == 4
        assert context.table_in_use().age_seconds == pytest.approx(2.25, abs=0.01)

    run_on_virtual_clock(scenario())


def table_update(version: int, revision: int) -> WatchUpdate:
    value = msgspec.json.encode({"version": version})
    return WatchUpdate((KvEntry(CONFIG_KEY, value, 1, revision),), revision)
