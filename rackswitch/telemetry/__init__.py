"""Logs and metrics."""

from rackswitch.telemetry.core import *  # noqa: F403
from rackswitch.telemetry.core import __all__ as _core_all
from rackswitch.telemetry.journal import *  # noqa: F403
from rackswitch.telemetry.journal import __all__ as _journal_all

__all__ = [*_core_all, *_journal_all]
