"""Typed settings, read from JSON with comments."""

from rackswitch.settings.core import *  # noqa: F403
from rackswitch.settings.core import __all__  # noqa: F401
