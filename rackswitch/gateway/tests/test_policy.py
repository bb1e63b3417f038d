"""The switches of mechanisms: all on by default, checked when read."""

from pathlib import Path

import msgspec
import pytest

from rackswitch.gateway.policy import POLICY_FILE, PolicySettings, read_policy
from rackswitch.settings import SettingsFault

REPOSITORY = Path(__file__).parents[3]


def test_the_committed_file_names_every_switch_and_leaves_it_on():
    path = REPOSITORY / POLICY_FILE
    assert read_policy(str(path)) == PolicySettings()
    text = path.read_text()
    assert all(f"{field.name}:" in text for field in msgspec.structs.fields(PolicySettings))


def test_everything_is_on_where_there_is_no_file(tmp_path):
    assert read_policy(str(tmp_path / "none.json")) == PolicySettings()


@pytest.mark.parametrize(
    ("text", "named"),
    [("{runs_move: 3}", "runs_move"), ("{unknown: true}", "unknown"), ("{", "JSON")],
)
def test_a_fault_names_the_field(tmp_path, text, named):
    path = tmp_path / "policy.json"
    path.write_text(text)
    fault = read_policy(str(path))
    assert isinstance(fault, SettingsFault)
    assert named in fault.line
