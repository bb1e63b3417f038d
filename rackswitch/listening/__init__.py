"""Listening, accepting and reading without the imports of a server."""

from rackswitch.listening.core import *  # noqa: F403
from rackswitch.listening.core import __all__ as _core_all
from rackswitch.listening.early_connections import *  # noqa: F403
from rackswitch.listening.early_connections import __all__ as _early_connections_all

__all__ = [*_core_all, *_early_connections_all]
