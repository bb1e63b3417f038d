"""Registries that decorators fill."""

from rackswitch.registry.core import *  # noqa: F403
from rackswitch.registry.core import __all__  # noqa: F401
