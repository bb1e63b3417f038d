"""Calls to the key-value service through another daemon while the own path fails."""

from rackswitch.relay.attempts import *  # noqa: F403
from rackswitch.relay.attempts import __all__ as _attempts_all
from rackswitch.relay.paths import *  # noqa: F403
from rackswitch.relay.paths import __all__ as _paths_all
from rackswitch.relay.recent import *  # noqa: F403
from rackswitch.relay.recent import __all__ as _recent_all

__all__ = [*_attempts_all, *_paths_all, *_recent_all]
