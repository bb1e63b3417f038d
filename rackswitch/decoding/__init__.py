"""Decoding of messages that other processes have written."""

from rackswitch.decoding.core import *  # noqa: F403
from rackswitch.decoding.core import __all__  # noqa: F401
