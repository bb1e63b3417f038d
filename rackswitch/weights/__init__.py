"""Bringing weight versions onto engines."""

from rackswitch.weights.rollout import *  # noqa: F403
from rackswitch.weights.rollout import __all__  # noqa: F401
