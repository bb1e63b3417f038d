"""The platform's list of targets, as it becomes what this daemon knows of them."""

import asyncio

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.store.state_manager import StateManager
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.routing import ReportedLoad, TargetDirectory
from rackswitch.routing.directory import LAPSE_GRACE_SECONDS
from rackswitch.standins.kv_store import KvStore

STARTED_AT_UNIX_MS = 1_770_155_892_736


class TargetList:
    """The list as one daemon takes it in."""

    def __init__(self):
        self.context = make_gateway_context("a", KvStore())
        self.quarantine = QuarantineManager(self.context, lambda: True)
        self.handlers = StateManager(self.context, self.quarantine.watch).target_handlers()
        self._revision = 0

    def put(self, instance, born=STARTED_AT_UNIX_MS, **changes):
        entry = {
            "service": "engines",
            "address": "127.0.0.3:80",
            "zone": "z",
            "slots": 4,
            "state": "ready",
            "models": [{"name": "m", "version": 3}],
            "seq": 1,
            "born": born,
            **changes,
        }
        self.put_bytes(instance, msgspec.json.encode(entry))

    def put_bytes(self, instance, value):
        self._revision += 1
        self.handlers.on_put(KvEntry(f"servers/{instance}", value, 1, self._revision))

    def usable(self):
        found = self.context.directory.usable("engines", self.context.now_seconds())
        return [target.instance for target in found]


def test_what_was_learnt_of_an_engine_goes_when_it_is_back_under_its_identity():
    """Breaker, load, speed, prompts kept and loads under way are of the former start."""

    async def scenario():
        listed = TargetList()
        listed.put("i-1")
        now_seconds = listed.context.now_seconds()
        previous_target = listed.context.targets["i-1"]
        previous_target.begin(500.0, (1, 2, 3))
        previous_target.went_silent(now_seconds)
        listed.context.loads.told("i-1", "m", 4, now_seconds)
        listed.put("i-1", STARTED_AT_UNIX_MS, seq=2)
        assert listed.context.targets["i-1"] is previous_target
        listed.put("i-1", STARTED_AT_UNIX_MS + 3000, models=[{"name": "m", "version": 1}], seq=0)
        restarted_target = listed.context.targets["i-1"]
        assert restarted_target.open_until_seconds <= now_seconds
        assert restarted_target.outstanding_tokens() == 0.0
        assert restarted_target.cached_share((1, 2, 3)) == 0.0
        assert not listed.context.loads.is_loading("i-1", "m", now_seconds)
        assert listed.context.directory.entries["i-1"].versions == {"m": 1}

    run_virtual(scenario())


def test_that_holds_too_if_its_entry_had_gone_in_between():

    async def scenario():
        listed = TargetList()
        listed.put("i-1")
        listed.context.targets["i-1"].went_silent(listed.context.now_seconds())
        listed.handlers.on_deleted("servers/i-1")
        listed.put("i-1", STARTED_AT_UNIX_MS + 3000)
        assert listed.context.targets["i-1"].open_until_seconds == 0.0

    run_virtual(scenario())


def test_any_bytes_in_the_list_name_no_engine_and_the_others_hold():

    async def scenario():
        listed = TargetList()
        listed.put("i-1")
        listed.put("i-2", address="127.0.0.4:80")
        listed.put_bytes("i-3", b"\xff\x00")
        listed.put("i-4", state="zombie")
        assert listed.usable() == ["i-1", "i-2"]
        listed.put_bytes("i-1", b"{")
        assert listed.usable() == ["i-2"]
        listed.put("i-1", STARTED_AT_UNIX_MS)
        assert set(listed.usable()) == {"i-1", "i-2"}

    run_virtual(scenario())


def test_an_engine_whose_entry_goes_has_ended_under_what_broke_there_unless_it_was_leaving():
    async def scenario():
        listed = TargetList()
        watch = listed.quarantine.watch
        for instance, host in (("i-1", "127.0.0.3"), ("i-2", "127.0.0.4"), ("i-3", "127.0.0.5")):
            listed.put(instance, address=f"{host}:80")
        listed.put("i-2", address="127.0.0.4:80", state="draining")
        targets = dict(listed.context.directory.entries)
        for target in targets.values():
            # The first is asked after, the second is leaving, the third runs on.
            if target.instance != "i-3":
                watch.broke(f"under {target.instance}", target)
        for instance in ("i-1", "i-2", "i-3"):
            listed.handlers.on_deleted(f"servers/{instance}")
        evidence = listed.quarantine._evidence
        assert evidence.count("under i-1") == 1
        assert evidence.count("under i-2") == 0

    run_virtual(scenario())


def test_another_start_at_an_engines_address_shows_its_end():
    async def scenario():
        listed = TargetList()
        listed.put("i-1")
        listed.quarantine.watch.broke("f", listed.context.directory.entries["i-1"])
        listed.put("i-9", STARTED_AT_UNIX_MS + 3000)
        assert listed.quarantine._evidence.count("f") == 1

    run_virtual(scenario())


def test_the_list_is_not_looked_through_while_no_engine_is_asked_after(monkeypatch):
    """The first reading of a long list must not look through it once for each entry."""

    async def scenario():
        listed = TargetList()
        searched_hosts = []
        monkeypatch.setattr(
            TargetDirectory,
            "at_address",
            lambda self, host, port: searched_hosts.append(host) or [],
        )
        listed.put("i-1")
        listed.put("i-2", address="127.0.0.4:80")
        assert not searched_hosts
        listed.quarantine.watch.broke("f", listed.context.directory.entries["i-1"])
        listed.put("i-3", address="127.0.0.5:80")
        assert searched_hosts == ["127.0.0.5"]

    run_virtual(scenario())


def test_the_load_picture_forgets_a_start_whose_grace_is_over():
    async def scenario():
        listed = TargetList()
        context = listed.context
        for instance in ("i-1", "i-2"):
            listed.put(instance)
            target = context.directory.entries[instance]
            context.load_estimator.heard(target.start, "engines", ReportedLoad(1, 0, 4, 1.0, 0.0))
        context.contact.back_seconds = context.now_seconds()
        listed.handlers.on_deleted("servers/i-1")
        context.forget_unlisted()
        during = context.load_estimator.starts()
        await asyncio.sleep(LAPSE_GRACE_SECONDS + 0.1)
        context.forget_unlisted()
        return during, context.load_estimator.starts()

    during, after = run_virtual(scenario())
    assert during == {f"i-1@{STARTED_AT_UNIX_MS}", f"i-2@{STARTED_AT_UNIX_MS}"}
    assert after == {f"i-2@{STARTED_AT_UNIX_MS}"}
