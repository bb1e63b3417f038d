"""The platform's list of targets, as it becomes what this daemon knows of them."""

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.quarantine.quarantine_keeper import QuarantineKeeper
from rackswitch.gateway.store.state_keeper import StateKeeper
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.standins.kv_store import KvStore

BORN_UNIX_MS = 1_770_155_892_736


class TargetList:
    """The list as one daemon takes it in."""

    def __init__(self):
        self.context = make_gateway_context("a", KvStore())
        self.quarantine = QuarantineKeeper(self.context, lambda: True)
        self.handlers = StateKeeper(self.context).target_handlers()
        self._revision = 0

    def put(self, instance, born=BORN_UNIX_MS, **changes):
        entry = {
            "service": "engines",
            "address": "10.1.2.3:80",
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


def test_any_bytes_in_the_list_name_no_engine_and_the_others_hold():

    async def scenario():
        listed = TargetList()
        listed.put("i-1")
        listed.put("i-2", address="10.1.2.4:80")
        listed.put_bytes("i-3", b"\xff\x00")
        listed.put("i-4", state="zombie")
        assert listed.usable() == ["i-1", "i-2"]
        listed.put_bytes("i-1", b"{")
        assert listed.usable() == ["i-2"]
        listed.put("i-1", BORN_UNIX_MS)
        assert set(listed.usable()) == {"i-1", "i-2"}

    run_virtual(scenario())
