"""The clock used for timers, leases and deadlines, and the delay of the event loop's timers."""

from rackswitch.clocks.boot_clock import *  # noqa: F403
from rackswitch.clocks.boot_clock import __all__ as _boot_clock_all
from rackswitch.clocks.loop_delay import *  # noqa: F403
from rackswitch.clocks.loop_delay import __all__ as _loop_delay_all

__all__ = [*_boot_clock_all, *_loop_delay_all]
