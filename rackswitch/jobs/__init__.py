"""Batch jobs: many requests submitted together, run later, their results read by position."""

from rackswitch.jobs.checkpoints import *  # noqa: F403
from rackswitch.jobs.checkpoints import __all__ as _checkpoints_all
from rackswitch.jobs.engine_memory import *  # noqa: F403
from rackswitch.jobs.engine_memory import __all__ as _engine_memory_all
from rackswitch.jobs.first_fill import *  # noqa: F403
from rackswitch.jobs.first_fill import __all__ as _first_fill_all
from rackswitch.jobs.first_pieces import *  # noqa: F403
from rackswitch.jobs.first_pieces import __all__ as _first_pieces_all
from rackswitch.jobs.hand_over import *  # noqa: F403
from rackswitch.jobs.hand_over import __all__ as _hand_over_all
from rackswitch.jobs.item_limits import *  # noqa: F403
from rackswitch.jobs.item_limits import __all__ as _item_limits_all
from rackswitch.jobs.leaving import *  # noqa: F403
from rackswitch.jobs.leaving import __all__ as _leaving_all
from rackswitch.jobs.ledger import *  # noqa: F403
from rackswitch.jobs.ledger import __all__ as _ledger_all
from rackswitch.jobs.listing import *  # noqa: F403
from rackswitch.jobs.listing import __all__ as _listing_all
from rackswitch.jobs.local_runs import *  # noqa: F403
from rackswitch.jobs.local_runs import __all__ as _local_runs_all
from rackswitch.jobs.messages import *  # noqa: F403
from rackswitch.jobs.messages import __all__ as _messages_all
from rackswitch.jobs.occupancy import *  # noqa: F403
from rackswitch.jobs.occupancy import __all__ as _occupancy_all
from rackswitch.jobs.orphaned_jobs import *  # noqa: F403
from rackswitch.jobs.orphaned_jobs import __all__ as _orphaned_jobs_all
from rackswitch.jobs.overdue import *  # noqa: F403
from rackswitch.jobs.overdue import __all__ as _overdue_all
from rackswitch.jobs.placement import *  # noqa: F403
from rackswitch.jobs.placement import __all__ as _placement_all
from rackswitch.jobs.progress import *  # noqa: F403
from rackswitch.jobs.progress import __all__ as _progress_all
from rackswitch.jobs.retention import *  # noqa: F403
from rackswitch.jobs.retention import __all__ as _retention_all
from rackswitch.jobs.schedule import *  # noqa: F403
from rackswitch.jobs.schedule import __all__ as _schedule_all
from rackswitch.jobs.step_order import *  # noqa: F403
from rackswitch.jobs.step_order import __all__ as _step_order_all
from rackswitch.jobs.stragglers import *  # noqa: F403
from rackswitch.jobs.stragglers import __all__ as _stragglers_all
from rackswitch.jobs.urgency import *  # noqa: F403
from rackswitch.jobs.urgency import __all__ as _urgency_all
from rackswitch.jobs.waits import *  # noqa: F403
from rackswitch.jobs.waits import __all__ as _waits_all

__all__ = [
    *_checkpoints_all,
    *_engine_memory_all,
    *_first_fill_all,
    *_first_pieces_all,
    *_hand_over_all,
    *_item_limits_all,
    *_leaving_all,
    *_ledger_all,
    *_listing_all,
    *_local_runs_all,
    *_messages_all,
    *_occupancy_all,
    *_orphaned_jobs_all,
    *_overdue_all,
    *_placement_all,
    *_progress_all,
    *_retention_all,
    *_schedule_all,
    *_step_order_all,
    *_stragglers_all,
    *_urgency_all,
    *_waits_all,
]
