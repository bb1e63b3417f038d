"""Explains requests, jobs and lost time from the decision logs of several daemons."""

from rackswitch.explain.clocks import *  # noqa: F403
from rackswitch.explain.clocks import __all__ as _clocks_all
from rackswitch.explain.lines import *  # noqa: F403
from rackswitch.explain.lines import __all__ as _lines_all
from rackswitch.explain.losses import *  # noqa: F403
from rackswitch.explain.losses import __all__ as _losses_all
from rackswitch.explain.story import *  # noqa: F403
from rackswitch.explain.story import __all__ as _story_all
from rackswitch.explain.verdicts import *  # noqa: F403
from rackswitch.explain.verdicts import __all__ as _verdicts_all

__all__ = [*_clocks_all, *_lines_all, *_losses_all, *_story_all, *_verdicts_all]
