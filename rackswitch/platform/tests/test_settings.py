from pathlib import Path

import pytest

from rackswitch.platform.settings import Address, NodeSettings, read_node_settings
from rackswitch.settings import SettingsFault

VALID_SETTINGS = """
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


def test_reads_the_settings_file_and_ignores_unknown_fields(tmp_path):
    settings = read(tmp_path, VALID_SETTINGS)
    assert isinstance(settings, NodeSettings)
    assert settings.callers == Address("10.1.0.10", 8161)
    assert settings.peer_ports == (7720, 7735)
    assert settings.kv_url == "http://10.200.1.7:8169"
    assert settings.order_turn_seconds == 3.0


def test_reads_regions_capacity_and_the_bound_of_cold_targets(tmp_path):
    """Without these fields a daemon cannot tell regions, small VMs and the bound apart."""
    text = VALID_SETTINGS.replace("bounds:", "bounds:\n  cold_over: 1.5\n  cold_slack: 5")
    text += 'region: "r"\nzones: {a: "r", b: "s"}\nlimits: {memory_mb: 200, link_mbps: 30.0}\n'
    settings = read(tmp_path, text)
    assert isinstance(settings, NodeSettings)
    assert (settings.region, settings.region_of_zone) == ("r", {"a": "r", "b": "s"})
    assert (settings.memory_mb, settings.link_mbps) == (200.0, 30.0)
    assert (settings.cold_rate_factor, settings.cold_rate_slack) == (1.5, 5.0)


def test_a_vm_without_callers_has_no_caller_address(tmp_path):
    listen_entries = '  front: "10.1.0.10:8161"\n  ready: "10.1.0.10:8167"\n'
    settings = read(tmp_path, VALID_SETTINGS.replace(listen_entries, "  {}\n"))
    assert isinstance(settings, NodeSettings)
    assert settings.callers is None


@pytest.mark.parametrize(
    ("valid_text", "invalid_text", "message_part"),
    [
        ('node: "front-a-1"', "node: 3", "$.node"),
        ('zone: "a"\n', "", "zone"),
        ('"10.1.0.10:8161"', '"10.1.0.10"', "listen.front"),
        ("  - 7735\n", "", "internal_ports"),
        ("ttl_min_ms: 1000", "ttl_min_ms: soon", "platform.ttl_min_ms"),
        ("node:", "node: [", ""),
    ],
)
def test_names_an_invalid_field_in_one_line(tmp_path, valid_text, invalid_text, message_part):
    fault = read(tmp_path, VALID_SETTINGS.replace(valid_text, invalid_text))
    assert isinstance(fault, SettingsFault)
    assert message_part in fault.line


def test_reports_a_missing_file():
    assert isinstance(read_node_settings("/nowhere/node.yaml"), SettingsFault)


CLOUD_SETTINGS = """
cloud:
  address: "10.200.0.68:8380"
  duties: [usage, autoscale]
  duty_per_s: 50.0
"""


def test_reads_the_duties_at_the_operators_api(tmp_path):
    assert read(tmp_path, VALID_SETTINGS).duties is None
    assert (
        read(
            tmp_path, VALID_SETTINGS + CLOUD_SETTINGS.replace("usage, autoscale", "something")
        ).duties
        is None
    )
    duties = read(
        tmp_path, VALID_SETTINGS.replace("bounds:", "bounds:\n  usage_late_s: 9") + CLOUD_SETTINGS
    ).duties
    assert duties.url == "http://10.200.0.68:8380"
    assert (duties.reports_usage, duties.orders_engines) == (True, True)
    assert (duties.window_seconds, duties.late_seconds) == (5.0, 9.0)
    usage_only = read(
        tmp_path, VALID_SETTINGS + CLOUD_SETTINGS.replace("usage, autoscale", "usage")
    ).duties
    assert (usage_only.reports_usage, usage_only.orders_engines) == (True, False)


def test_rejects_a_report_window_of_zero(tmp_path):
    fault = read(
        tmp_path,
        VALID_SETTINGS.replace("bounds:", "bounds:\n  report_window_s: 0") + CLOUD_SETTINGS,
    )
    assert isinstance(fault, SettingsFault)
    assert "report_window_s" in str(fault)


@pytest.mark.parametrize("contracts", ["", 'contracts: ["base", "drain"]'])
def test_queues_calls_only_with_the_pressure_contract(tmp_path, contracts):
    settings = read(tmp_path, VALID_SETTINGS + contracts)
    assert isinstance(settings, NodeSettings) and not settings.queues_calls
    settings = read(tmp_path, VALID_SETTINGS + 'contracts: ["base", "pressure"]')
    assert isinstance(settings, NodeSettings) and settings.queues_calls


def test_reads_the_drain_time(tmp_path):
    assert read(tmp_path, VALID_SETTINGS).drain_seconds == 0.0
    settings = read(tmp_path, VALID_SETTINGS.replace("bounds:", "bounds:\n  drain_ms: 2500"))
    assert settings.drain_seconds == 2.5
