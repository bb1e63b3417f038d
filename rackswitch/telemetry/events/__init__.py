"""The events of the decision log: one class for each kind of decision or state change.

An event's fields hold the identity of its subject, the inputs of the decision with
their age or version, and the outcome. Times in fields are durations, never timestamps:
the header of each line has the daemon's clocks.
"""

from rackswitch.telemetry.events.admission import *  # noqa: F403
from rackswitch.telemetry.events.admission import __all__ as _admission_all
from rackswitch.telemetry.events.base import *  # noqa: F403
from rackswitch.telemetry.events.base import __all__ as _base_all
from rackswitch.telemetry.events.dependencies import *  # noqa: F403
from rackswitch.telemetry.events.dependencies import __all__ as _dependencies_all
from rackswitch.telemetry.events.estimates import *  # noqa: F403
from rackswitch.telemetry.events.estimates import __all__ as _estimates_all
from rackswitch.telemetry.events.jobs import *  # noqa: F403
from rackswitch.telemetry.events.jobs import __all__ as _jobs_all
from rackswitch.telemetry.events.operators import *  # noqa: F403
from rackswitch.telemetry.events.operators import __all__ as _operators_all
from rackswitch.telemetry.events.process import *  # noqa: F403
from rackswitch.telemetry.events.process import __all__ as _process_all
from rackswitch.telemetry.events.quarantine import *  # noqa: F403
from rackswitch.telemetry.events.quarantine import __all__ as _quarantine_all
from rackswitch.telemetry.events.requests import *  # noqa: F403
from rackswitch.telemetry.events.requests import __all__ as _requests_all
from rackswitch.telemetry.events.samples import *  # noqa: F403
from rackswitch.telemetry.events.samples import __all__ as _samples_all
from rackswitch.telemetry.events.state import *  # noqa: F403
from rackswitch.telemetry.events.state import __all__ as _state_all
from rackswitch.telemetry.events.weights import *  # noqa: F403
from rackswitch.telemetry.events.weights import __all__ as _weights_all

__all__ = [
    *_admission_all,
    *_base_all,
    *_state_all,
    *_dependencies_all,
    *_operators_all,
    *_jobs_all,
    *_estimates_all,
    *_process_all,
    *_quarantine_all,
    *_requests_all,
    *_samples_all,
    *_weights_all,
]
