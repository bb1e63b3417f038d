"""Signals during the start of the program."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import rackswitch
from rackswitch.gateway.main import EXIT_BAD_SETTINGS
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


def test_sighup_during_imports_does_not_end_the_program():
    environment = {name: text for name, text in os.environ.items() if name != SETTINGS_VARIABLE}
    environment["PYTHONPATH"] = str(Path(rackswitch.__file__).parents[1])
    process = subprocess.run(
        [sys.executable, "-c", SIGNAL_DURING_IMPORT],
        env=environment,
        capture_output=True,
        timeout=30.0,
        check=False,
    )
    assert process.returncode != -signal.SIGHUP
    # The program went on until it found no settings.
    assert process.returncode == EXIT_BAD_SETTINGS, process.stderr
