"""Calls to the key-value service through another daemon while the own path fails."""

from rackswitch.relay.paths import *  # noqa: F403
from rackswitch.relay.paths import __all__ as _paths_all

__all__ = [*_paths_all]
