"""A signal that comes while the program is being loaded."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import rackswitch
from rackswitch.gateway.main import EXIT_BAD_SETTINGS
from rackswitch.platform.names import SETTINGS_VARIABLE

SIGNALLED_AS_IT_LOADS = """
import os, runpy, signal, sys

class Signalling:
    def find_spec(self, name, path, target=None):
        if name == "rackswitch.gateway.main":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Signalling())
runpy.run_module("rackswitch.gateway", run_name="__main__")
"""


def test_an_order_to_read_the_settings_again_does_not_end_a_program_that_is_being_loaded():
    environment = {name: text for name, text in os.environ.items() if name != SETTINGS_VARIABLE}
    environment["PYTHONPATH"] = str(Path(rackswitch.__file__).parents[1])
    ended = subprocess.run(
        [sys.executable, "-c", SIGNALLED_AS_IT_LOADS],
        env=environment,
        capture_output=True,
        timeout=30.0,
        check=False,
    )
    assert ended.returncode != -signal.SIGHUP
    # It has gone on to where it misses its settings.
    assert ended.returncode == EXIT_BAD_SETTINGS, ended.stderr
