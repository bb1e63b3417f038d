"""Leases on roles and sessions, with fencing numbers."""

from rackswitch.leases.core import *  # noqa: F403
from rackswitch.leases.core import __all__ as _core_all
from rackswitch.leases.holder import *  # noqa: F403
from rackswitch.leases.holder import __all__ as _holder_all
from rackswitch.leases.session import *  # noqa: F403
from rackswitch.leases.session import __all__ as _session_all
from rackswitch.leases.turns import *  # noqa: F403
from rackswitch.leases.turns import __all__ as _turns_all

__all__ = [*_core_all, *_holder_all, *_session_all, *_turns_all]
