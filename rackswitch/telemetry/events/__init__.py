"""What a daemon logs: one class for each kind of decision or change of belief.

An event's fields hold the identity of what it is about, the inputs that decided,
with their age or version, and the outcome. Times in fields are durations that
have passed, never points on a clock: each line carries the daemon's clocks itself.
"""

from rackswitch.telemetry.events.admission import *  # noqa: F403
from rackswitch.telemetry.events.admission import __all__ as _admission_all
from rackswitch.telemetry.events.base import *  # noqa: F403
from rackswitch.telemetry.events.base import __all__ as _base_all
from rackswitch.telemetry.events.beliefs import *  # noqa: F403
from rackswitch.telemetry.events.beliefs import __all__ as _beliefs_all
from rackswitch.telemetry.events.dependencies import *  # noqa: F403
from rackswitch.telemetry.events.dependencies import __all__ as _dependencies_all
from rackswitch.telemetry.events.duties import *  # noqa: F403
from rackswitch.telemetry.events.duties import __all__ as _duties_all
from rackswitch.telemetry.events.jobs import *  # noqa: F403
from rackswitch.telemetry.events.jobs import __all__ as _jobs_all
from rackswitch.telemetry.events.places import *  # noqa: F403
from rackswitch.telemetry.events.places import __all__ as _places_all
from rackswitch.telemetry.events.process import *  # noqa: F403
from rackswitch.telemetry.events.process import __all__ as _process_all
from rackswitch.telemetry.events.quarantine import *  # noqa: F403
from rackswitch.telemetry.events.quarantine import __all__ as _quarantine_all
from rackswitch.telemetry.events.requests import *  # noqa: F403
from rackswitch.telemetry.events.requests import __all__ as _requests_all
from rackswitch.telemetry.events.samples import *  # noqa: F403
from rackswitch.telemetry.events.samples import __all__ as _samples_all
from rackswitch.telemetry.events.weights import *  # noqa: F403
from rackswitch.telemetry.events.weights import __all__ as _weights_all

__all__ = [
    *_admission_all,
    *_base_all,
    *_beliefs_all,
    *_dependencies_all,
    *_duties_all,
    *_jobs_all,
    *_places_all,
    *_process_all,
    *_quarantine_all,
    *_requests_all,
    *_samples_all,
    *_weights_all,
]
