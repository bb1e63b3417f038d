"""The key-value service by way of another daemon, when one's own path to it is broken."""

from rackswitch.relay.paths import *  # noqa: F403
from rackswitch.relay.paths import __all__ as _paths_all

__all__ = [*_paths_all]
