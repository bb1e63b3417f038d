"""HTTP server and helpers shared by the daemon, the gateway and the stand-ins.

Only the server is exported here: `handlers` and `problems` import the web framework, which slows
down the start of a process and which the gateway does not use.
"""

from rackswitch.web.server import *  # noqa: F403
from rackswitch.web.server import __all__ as _server_all

__all__ = [*_server_all]
