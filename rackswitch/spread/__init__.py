"""Spreading what is known: which daemon takes whose copies of the service's entries over."""

from rackswitch.spread.choice import *  # noqa: F403
from rackswitch.spread.choice import __all__ as _choice_all
from rackswitch.spread.tree import *  # noqa: F403
from rackswitch.spread.tree import __all__ as _tree_all

__all__ = [*_choice_all, *_tree_all]
