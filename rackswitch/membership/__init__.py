"""Failure detection: the daemons that are estimated to be live."""

from rackswitch.membership.core import *  # noqa: F403
from rackswitch.membership.core import __all__  # noqa: F401
