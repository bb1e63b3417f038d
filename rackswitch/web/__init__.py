"""HTTP plumbing shared by the daemon and the stand-ins.

Only the server is offered here: `handlers` and `problems` load the web framework, which a gateway
does without (0.1 s of the processor time of its start).
"""

from rackswitch.web.server import *  # noqa: F403
from rackswitch.web.server import __all__ as _server_all

__all__ = [*_server_all]
