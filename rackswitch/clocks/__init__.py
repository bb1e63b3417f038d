"""The clock that all waiting, leases and deadlines go by."""

from rackswitch.clocks.boot_clock import *  # noqa: F403
from rackswitch.clocks.boot_clock import __all__  # noqa: F401
