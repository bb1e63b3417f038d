"""Handling of changes to the platform's list of targets."""

import asyncio

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.store.state_manager import StateManager
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.routing import ReportedLoad, TargetDirectory
from rackswitch.routing.directory import LAPSE_GRACE_SECONDS
from rackswitch.standins.kv_store import KvStore

STARTED_AT_UNIX_MS = 1_770_155_892_736


class TargetList:
    """The list of targets as one daemon receives it."""

    def __init__(self):
        self.context = make_gateway_context("a", KvStore())
        self.quarantine = QuarantineManager(self.context, lambda: True)
        self.handlers = StateManager(self.context, self.quarantine.end_detector).target_handlers()
        self._revision = 0

    def put(self, instance, started_at_unix_ms=STARTED_AT_UNIX_MS, **changes):
        entry = {
            "service": "engines",
            "address": "127.0.0.3:80",
            "zone": "z",
            "slots": 4,
            "state": "ready",
            "models": [{"name": "m", "version": 3}],
            "seq": 1,
            "born": started_at_unix_ms,
            **changes,
        }
        self.put_bytes(instance, msgspec.json.encode(entry))

    def put_bytes(self, instance, value):
        self._revision += 1
        self.handlers.on_put(KvEntry(f"servers/{instance}", value, 1, self._revision))

    def usable(self):
        usable_targets = self.context.directory.usable("engines", self.context.now_seconds())
        return [target.instance for target in usable_targets]


def test_estimates_are_discarded_when_an_engine_restarts_under_its_name():
    """Covers the circuit breaker, outstanding load, cached prompts and ordered model loads."""

    async def scenario():
        target_list = TargetList()
        target_list.put("i-1")
        now_seconds = target_list.context.now_seconds()
        previous_target = target_list.context.targets["i-1"]
        previous_target.record_start(500.0, (1, 2, 3))
        previous_target.record_no_response(now_seconds)
        target_list.context.loads.record_order("i-1", "m", 4, now_seconds)
        target_list.put("i-1", STARTED_AT_UNIX_MS, seq=2)
        assert target_list.context.targets["i-1"] is previous_target
        target_list.put(
            "i-1", STARTED_AT_UNIX_MS + 3000, models=[{"name": "m", "version": 1}], seq=0
        )
        restarted_target = target_list.context.targets["i-1"]
        assert restarted_target.open_until_seconds <= now_seconds
        assert restarted_target.outstanding_tokens() == 0.0
        assert restarted_target.cached_share((1, 2, 3)) == 0.0
        assert not target_list.context.loads.is_loading("i-1", "m", now_seconds)
        assert target_list.context.directory.entries["i-1"].versions == {"m": 1}

    run_on_virtual_clock(scenario())


def test_estimates_are_discarded_when_the_entry_was_deleted_before_the_restart():

    async def scenario():
        target_list = TargetList()
        target_list.put("i-1")
        target_list.context.targets["i-1"].record_no_response(target_list.context.now_seconds())
        target_list.handlers.on_deleted("servers/i-1")
        target_list.put("i-1", STARTED_AT_UNIX_MS + 3000)
        assert target_list.context.targets["i-1"].open_until_seconds == 0.0

    run_on_virtual_clock(scenario())


def test_malformed_entries_name_no_engine_and_leave_others_usable():

    async def scenario():
        target_list = TargetList()
        target_list.put("i-1")
        target_list.put("i-2", address="127.0.0.4:80")
        target_list.put_bytes("i-3", b"\xff\x00")
        target_list.put("i-4", state="zombie")
        assert target_list.usable() == ["i-1", "i-2"]
        target_list.put_bytes("i-1", b"{")
        assert target_list.usable() == ["i-2"]
        target_list.put("i-1", STARTED_AT_UNIX_MS)
        assert set(target_list.usable()) == {"i-1", "i-2"}

    run_on_virtual_clock(scenario())


def test_a_deleted_entry_is_evidence_of_an_end_unless_the_engine_was_draining():
    async def scenario():
        target_list = TargetList()
        watch = target_list.quarantine.end_detector
        for instance, host in (("i-1", "127.0.0.3"), ("i-2", "127.0.0.4"), ("i-3", "127.0.0.5")):
            target_list.put(instance, address=f"{host}:80")
        target_list.put("i-2", address="127.0.0.4:80", state="draining")
        targets = dict(target_list.context.directory.entries)
        for target in targets.values():
            # i-1 is under inquiry, i-2 is draining and i-3 had no failure.
            if target.instance != "i-3":
                watch.record_failure(f"under {target.instance}", target)
        for instance in ("i-1", "i-2", "i-3"):
            target_list.handlers.on_deleted(f"servers/{instance}")
        evidence = target_list.quarantine._evidence
        assert evidence.count("under i-1") == 1
        assert evidence.count("under i-2") == 0

    run_on_virtual_clock(scenario())


def test_another_start_at_an_engines_address_is_evidence_of_its_end():
    async def scenario():
        target_list = TargetList()
        target_list.put("i-1")
        target_list.quarantine.end_detector.record_failure(
            "f", target_list.context.directory.entries["i-1"]
        )
        target_list.put("i-9", STARTED_AT_UNIX_MS + 3000)
        assert target_list.quarantine._evidence.count("f") == 1

    run_on_virtual_clock(scenario())


def test_the_list_is_not_searched_while_no_inquiry_is_open(monkeypatch):
    """Otherwise the first snapshot of a long list would take quadratic time."""

    async def scenario():
        target_list = TargetList()
        searched_hosts = []
        monkeypatch.setattr(
            TargetDirectory,
            "at_address",
            lambda self, host, port: searched_hosts.append(host) or [],
        )
        target_list.put("i-1")
        target_list.put("i-2", address="127.0.0.4:80")
        assert not searched_hosts
        target_list.quarantine.end_detector.record_failure(
            "f", target_list.context.directory.entries["i-1"]
        )
        target_list.put("i-3", address="127.0.0.5:80")
        assert searched_hosts == ["127.0.0.5"]

    run_on_virtual_clock(scenario())


def test_the_load_estimate_of_an_unlisted_start_is_removed_after_its_grace_period():
    async def scenario():
        target_list = TargetList()
        context = target_list.context
        for instance in ("i-1", "i-2"):
            target_list.put(instance)
            target = context.directory.entries[instance]
            context.load_estimator.record_report(
                target.start, "engines", ReportedLoad(1, 0, 4, 1.0, 0.0)
            )
        context.store_reachability.recovered_at_seconds = context.now_seconds()
        target_list.handlers.on_deleted("servers/i-1")
        context.remove_unlisted_estimates()
        during = context.load_estimator.starts()
        await asyncio.sleep(LAPSE_GRACE_SECONDS + 0.1)
        context.remove_unlisted_estimates()
        return during, context.load_estimator.starts()

    during, after = run_on_virtual_clock(scenario())
    assert during == {f"i-1@{STARTED_AT_UNIX_MS}", f"i-2@{STARTED_AT_UNIX_MS}"}
    assert after == {f"i-2@{STARTED_AT_UNIX_MS}"}


def test_entries_make_their_start_cold_by_their_revision():
    """Guards against an old entry, delivered again, that ends or extends the cold phase."""

    async def scenario():
        target_list = TargetList()
        cold = target_list.context.cold_sends.targets
        target_list.put("i-1", cold_left_ms=3000)
        start = target_list.context.directory.entries["i-1"].start
        until_seconds = [cold.until_seconds(start)]
        target_list._revision -= 1
        target_list.put("i-1", cold_left_ms=0)
        until_seconds.append(cold.until_seconds(start))
        target_list.put("i-1", STARTED_AT_UNIX_MS + 1, cold_left_ms=0)
        until_seconds.append(cold.until_seconds(f"i-1@{STARTED_AT_UNIX_MS + 1}"))
        return target_list.context.now_seconds(), until_seconds

    now_seconds, until_seconds = run_on_virtual_clock(scenario())
    assert until_seconds == [now_seconds + 3.0, now_seconds + 3.0, -float("inf")]
