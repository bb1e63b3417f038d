"""HTTP plumbing shared by the daemon and the stand-ins."""

from rackswitch.web.core import *  # noqa: F403
from rackswitch.web.core import __all__ as _core_all
from rackswitch.web.problems import *  # noqa: F403
from rackswitch.web.problems import __all__ as _problems_all

__all__ = [*_core_all, *_problems_all]
