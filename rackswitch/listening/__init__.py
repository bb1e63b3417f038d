"""Opening of listening sockets, without the imports of a server."""

from rackswitch.listening.core import *  # noqa: F403
from rackswitch.listening.core import __all__  # noqa: F401
