from dataclasses import replace

from rackswitch.gateway.reload import compare_settings
from rackswitch.platform.settings import Address
from rackswitch.standins.platform_fleet import stand_in_settings

BEFORE = stand_in_settings("d0", "http://old")


def test_reloadable_fields_apply_at_once():
    after = replace(BEFORE, kv_url="http://new", stop_grace_seconds=5.0)
    changes = compare_settings(BEFORE, after)
    assert set(changes.applied) == {"kv_url", "stop_grace_seconds"}
    assert changes.needs_restart == ()


def test_changed_addresses_need_a_restart():
    after = replace(BEFORE, callers=Address("127.0.0.1", 8), zone="other")
    changes = compare_settings(BEFORE, after)
    assert changes.applied == ()
    assert set(changes.needs_restart) == {"callers", "zone"}
