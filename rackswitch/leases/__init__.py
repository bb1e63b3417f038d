"""Single holders: leases with fencing numbers."""

from rackswitch.leases.core import *  # noqa: F403
from rackswitch.leases.core import __all__  # noqa: F401
