"""Limits across daemons that need no remote call per request."""

from rackswitch.limits.buckets import *  # noqa: F403
from rackswitch.limits.buckets import __all__ as _buckets_all
from rackswitch.limits.shares import *  # noqa: F403
from rackswitch.limits.shares import __all__ as _shares_all

__all__ = [*_buckets_all, *_shares_all]
