"""The clock used for timers, leases and deadlines."""

from rackswitch.clocks.boot_clock import *  # noqa: F403
from rackswitch.clocks.boot_clock import __all__  # noqa: F401
