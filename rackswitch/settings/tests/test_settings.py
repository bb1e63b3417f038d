"""Errors in settings are one line with the file, field, value found and values allowed."""

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.daemon.settings import DaemonSettings
from rackswitch.settings import SettingsFault, describe_settings, load_settings

VALID_SETTINGS = {
    "daemon": "d0",
    "zone": "z",
    "kv_url": "http://127.0.0.1:1",
    "weight_store_url": "http://127.0.0.1:2",
    "vm_list_url": "http://127.0.0.1:3",
    "fleet_secret": "s",
    "operator_token_sha256": "x",
}
EXAMPLES = sorted((Path(__file__).parents[3] / "examples").glob("*/daemon-*.json"))


def load(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return load_settings(str(path), DaemonSettings)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"prot": 1}, "unknown field `prot`"),
        ({"port": "80"}, "$.port"),
        ({"port": 70000}, "$.port"),
        ({"freshness": {"bound_seconds": -1}}, "$.freshness.bound_seconds"),
        ({"freshness": {"callers": "maybe"}}, "allowed: serve, refuse"),
        ({"routing_policy": "luck"}, "allowed: at_hand, estimated_wait"),
        ({"confirm_seconds": 50}, "$.confirm_seconds"),
        ({"daemon": ""}, "$.daemon"),
    ],
)
def test_errors_name_the_field(tmp_path, change, expected):
    error = load(tmp_path, json.dumps({**VALID_SETTINGS, **change}))
    assert isinstance(error, SettingsFault)
    assert "settings.json" in error.line
    assert expected in error.line
    assert "\n" not in error.line


def test_comments_are_allowed(tmp_path):
    assert isinstance(load(tmp_path, "// a comment\n" + json.dumps(VALID_SETTINGS)), DaemonSettings)


@pytest.mark.parametrize("path", EXAMPLES, ids=str)
def test_examples_are_valid(path):
    assert isinstance(load_settings(str(path), DaemonSettings), DaemonSettings)


def test_there_are_examples_for_both_users():
    assert {path.parent.name for path in EXAMPLES} == {"association", "register"}


@given(st.binary(max_size=60))
def test_any_bytes_give_an_error_or_settings(tmp_path_factory, data):
    loaded = load(tmp_path_factory.mktemp("s"), data)
    assert isinstance(loaded, SettingsFault | DaemonSettings)


def test_every_setting_is_described():
    lines = describe_settings(DaemonSettings)
    assert all(line.rstrip(".").count(". ") >= 1 for line in lines), lines
