"""Distribution of the key-value service's entries from daemon to daemon."""

from rackswitch.spread.choice import *  # noqa: F403
from rackswitch.spread.choice import __all__ as _choice_all
from rackswitch.spread.tree import *  # noqa: F403
from rackswitch.spread.tree import __all__ as _tree_all

__all__ = [*_choice_all, *_tree_all]
