"""Logs and metrics."""

from rackswitch.telemetry.core import *  # noqa: F403
from rackswitch.telemetry.core import __all__  # noqa: F401
