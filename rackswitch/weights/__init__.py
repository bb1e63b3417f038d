"""Weight versions: plans which engines load which version, and tracks their loads."""

from rackswitch.weights.engine_loads import *  # noqa: F403
from rackswitch.weights.engine_loads import __all__ as _engine_loads_all
from rackswitch.weights.rollout import *  # noqa: F403
from rackswitch.weights.rollout import __all__ as _rollout_all
from rackswitch.weights.service_plan import *  # noqa: F403
from rackswitch.weights.service_plan import __all__ as _service_plan_all

__all__ = [*_engine_loads_all, *_rollout_all, *_service_plan_all]
