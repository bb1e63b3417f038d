"""Reading of the policy file: defaults, completeness and errors."""

from pathlib import Path

import msgspec
import pytest

from rackswitch.gateway.policy import POLICY_FILE, PolicySettings, read_policy
from rackswitch.settings import SettingsFault

REPOSITORY = Path(__file__).parents[3]


def test_committed_file_lists_every_switch_with_its_default():
    path = REPOSITORY / POLICY_FILE
    assert read_policy(str(path)) == PolicySettings()
    text = path.read_text()
    assert all(f"{field.name}:" in text for field in msgspec.structs.fields(PolicySettings))


def test_defaults_apply_without_a_file(tmp_path):
    assert read_policy(str(tmp_path / "none.json")) == PolicySettings()


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [("{runs_move: 3}", "runs_move"), ("{unknown: true}", "unknown"), ("{", "JSON")],
)
def test_error_names_the_field(tmp_path, text, expected_text):
    path = tmp_path / "policy.json"
    path.write_text(text)
    fault = read_policy(str(path))
    assert isinstance(fault, SettingsFault)
    assert expected_text in fault.line
