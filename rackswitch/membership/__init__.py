"""Which daemons are believed live; soft state only."""

from rackswitch.membership.core import *  # noqa: F403
from rackswitch.membership.core import __all__  # noqa: F401
