"""Signals during the start of the program."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

import rackswitch
from rackswitch.gateway.early_start import EXIT_BAD_SETTINGS
from rackswitch.gateway.policy import POLICY_FILE
from rackswitch.platform.names import SETTINGS_VARIABLE

SIGNAL_DURING_IMPORT = """
import os, runpy, signal, sys

class Signalling:
    def find_spec(self, name, path, target=None):
        if name == "rackswitch.gateway.main":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Signalling())
runpy.run_module("rackswitch.gateway", run_name="__main__")
"""


def test_sighup_during_imports_does_not_end_the_program(tmp_path):
    settings = {
        "node": "d0",
        "ip": "127.0.0.1",
        "zone": "z",
        "platform": {"address": "127.0.0.1:9"},
        "internal_ports": [1, 1],
    }
    settings_path = tmp_path / "settings.json"
    settings_path.write_bytes(msgspec.json.encode(settings))
    # Settings are checked before the imports and the policy after them.
    policy_path = tmp_path / POLICY_FILE
    policy_path.parent.mkdir()
    policy_path.write_text('{"engine_kinds": "no such policy"}')
    environment = {**os.environ, SETTINGS_VARIABLE: str(settings_path)}
    environment["PYTHONPATH"] = str(Path(rackswitch.__file__).parents[1])
    process = subprocess.run(
        [sys.executable, "-c", SIGNAL_DURING_IMPORT],
        cwd=tmp_path,
        env=environment,
        capture_output=True,
        text=True,
        timeout=30.0,
        check=False,
    )
    assert process.returncode != -signal.SIGHUP
    # The program went on until it found the bad policy.
    assert process.returncode == EXIT_BAD_SETTINGS, process.stderr
    assert "no such policy" in process.stderr
