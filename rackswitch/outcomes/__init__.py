"""Outcomes of a request, as values."""

from rackswitch.outcomes.core import *  # noqa: F403
from rackswitch.outcomes.core import __all__  # noqa: F401
