"""Too little room at a service: who waits, who goes first, who is told to come back.

Room is what a service's targets can take now; a rank says who goes first, 0 before all others.
"""

from rackswitch.admission.refusals import *  # noqa: F403
from rackswitch.admission.refusals import __all__ as _refusals_all
from rackswitch.admission.returns import *  # noqa: F403
from rackswitch.admission.returns import __all__ as _returns_all
from rackswitch.admission.service_room import *  # noqa: F403
from rackswitch.admission.service_room import __all__ as _service_room_all
from rackswitch.admission.wants import *  # noqa: F403
from rackswitch.admission.wants import __all__ as _wants_all

__all__ = [*_refusals_all, *_returns_all, *_service_room_all, *_wants_all]
