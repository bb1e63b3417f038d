"""Registries of implementations, filled by decorators."""

from rackswitch.registry.core import *  # noqa: F403
from rackswitch.registry.core import __all__  # noqa: F401
