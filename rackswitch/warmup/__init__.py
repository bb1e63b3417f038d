"""Limits on the requests that all daemons together send to a target while it is cold."""

from rackswitch.warmup.cold_budget import *  # noqa: F403
from rackswitch.warmup.cold_budget import __all__ as _cold_budget_all
from rackswitch.warmup.cold_rate import *  # noqa: F403
from rackswitch.warmup.cold_rate import __all__ as _cold_rate_all
from rackswitch.warmup.cold_targets import *  # noqa: F403
from rackswitch.warmup.cold_targets import __all__ as _cold_targets_all
from rackswitch.warmup.ramp import *  # noqa: F403
from rackswitch.warmup.ramp import __all__ as _ramp_all
from rackswitch.warmup.senders import *  # noqa: F403
from rackswitch.warmup.senders import __all__ as _senders_all
from rackswitch.warmup.zone_loads import *  # noqa: F403
from rackswitch.warmup.zone_loads import __all__ as _zone_loads_all

__all__ = [
    *_cold_budget_all,
    *_cold_rate_all,
    *_cold_targets_all,
    *_ramp_all,
    *_senders_all,
    *_zone_loads_all,
]
