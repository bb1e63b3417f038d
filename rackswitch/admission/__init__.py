"""Too little room at a service: who waits, who goes first, who is told to come back."""

from rackswitch.admission.service_room import *  # noqa: F403
from rackswitch.admission.service_room import __all__ as _service_room_all
from rackswitch.admission.wants import *  # noqa: F403
from rackswitch.admission.wants import __all__ as _wants_all

__all__ = [*_service_room_all, *_wants_all]
