from pathlib import Path

import pytest

from rackswitch.platform.settings import Address, NodeSettings, read_node_settings
from rackswitch.settings import SettingsFault

GOOD = """
node: "front-a-1"
machine_class: "front"
ip: "10.1.0.10"
zone: "a"
something_new: [1, 2]
listen:
  front: "10.1.0.10:8161"
  ready: "10.1.0.10:8167"
internal_ports:
  - 7720
  - 7735
bounds:
  grace_s: 8
  lease_ms: 3000
  fence_checked: false
  status_s: 120
platform:
  address: "10.200.1.7:8169"
  value_bytes: 1048576
  ttl_min_ms: 1000
"""


def read(tmp_path: Path, text: str) -> NodeSettings | SettingsFault:
    path = tmp_path / "node.yaml"
    path.write_text(text)
    return read_node_settings(str(path))


def test_the_platforms_file_is_read_and_new_fields_are_passed_over(tmp_path):
    settings = read(tmp_path, GOOD)
    assert isinstance(settings, NodeSettings)
    assert settings.callers == Address("10.1.0.10", 8161)
    assert settings.peer_ports == (7720, 7735)
    assert settings.kv_url == "http://10.200.1.7:8169"
    assert settings.order_turn_seconds == 3.0


def test_a_vm_without_callers_listens_for_none(tmp_path):
    listening = '  front: "10.1.0.10:8161"\n  ready: "10.1.0.10:8167"\n'
    settings = read(tmp_path, GOOD.replace(listening, "  {}\n"))
    assert isinstance(settings, NodeSettings)
    assert settings.callers is None


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ('node: "front-a-1"', "node: 3", "$.node"),
        ('zone: "a"\n', "", "zone"),
        ('"10.1.0.10:8161"', '"10.1.0.10"', "listen.front"),
        ("  - 7735\n", "", "internal_ports"),
        ("ttl_min_ms: 1000", "ttl_min_ms: soon", "platform.ttl_min_ms"),
        ("node:", "node: [", ""),
    ],
)
def test_a_wrong_value_is_named_in_one_line(tmp_path, before, after, named):
    fault = read(tmp_path, GOOD.replace(before, after))
    assert isinstance(fault, SettingsFault)
    assert named in fault.line


def test_a_file_that_is_not_there_is_a_fault():
    assert isinstance(read_node_settings("/nowhere/node.yaml"), SettingsFault)


CLOUD = """
cloud:
  address: "10.200.0.68:8380"
  duties: [usage, autoscale]
  duty_per_s: 50.0
"""


def test_what_one_daemon_does_at_the_operators_api(tmp_path):
    assert read(tmp_path, GOOD).duties is None
    assert read(tmp_path, GOOD + CLOUD.replace("usage, autoscale", "something")).duties is None
    duties = read(tmp_path, GOOD.replace("bounds:", "bounds:\n  usage_late_s: 9") + CLOUD).duties
    assert duties.url == "http://10.200.0.68:8380"
    assert (duties.reports_usage, duties.orders_engines) == (True, True)
    assert (duties.window_seconds, duties.late_seconds) == (5.0, 9.0)
    only = read(tmp_path, GOOD + CLOUD.replace("usage, autoscale", "usage")).duties
    assert (only.reports_usage, only.orders_engines) == (True, False)


def test_a_window_without_length_is_refused_by_its_field(tmp_path):
    fault = read(tmp_path, GOOD.replace("bounds:", "bounds:\n  report_window_s: 0") + CLOUD)
    assert isinstance(fault, SettingsFault)
    assert "report_window_s" in str(fault)


@pytest.mark.parametrize("parts", ["", 'contracts: ["base", "drain"]'])
def test_calls_wait_in_order_only_where_callers_may_press(tmp_path, parts):
    settings = read(tmp_path, GOOD + parts)
    assert isinstance(settings, NodeSettings) and not settings.queues_calls
    settings = read(tmp_path, GOOD + 'contracts: ["base", "pressure"]')
    assert isinstance(settings, NodeSettings) and settings.queues_calls


def test_how_long_a_target_serves_after_its_word_that_it_leaves(tmp_path):
    assert read(tmp_path, GOOD).drain_seconds == 0.0
    settings = read(tmp_path, GOOD.replace("bounds:", "bounds:\n  drain_ms: 2500"))
    assert settings.drain_seconds == 2.5
