"""The operators' table: rows, edits and the current view."""

from rackswitch.table.confirmation import *  # noqa: F403
from rackswitch.table.confirmation import __all__ as _confirmation_all
from rackswitch.table.delta import *  # noqa: F403
from rackswitch.table.delta import __all__ as _delta_all
from rackswitch.table.edits import *  # noqa: F403
from rackswitch.table.edits import __all__ as _edits_all
from rackswitch.table.matching import *  # noqa: F403
from rackswitch.table.matching import __all__ as _matching_all
from rackswitch.table.rows import *  # noqa: F403
from rackswitch.table.rows import __all__ as _rows_all
from rackswitch.table.shared_keys import *  # noqa: F403
from rackswitch.table.shared_keys import __all__ as _shared_keys_all
from rackswitch.table.view import *  # noqa: F403
from rackswitch.table.view import __all__ as _view_all

__all__ = [
    *_confirmation_all,
    *_delta_all,
    *_edits_all,
    *_matching_all,
    *_rows_all,
    *_shared_keys_all,
    *_view_all,
]
