"""Admission control: which calls a service's targets take now, and which wait or are refused.

A rank is a priority; 0 is the highest.
"""

from rackswitch.admission.decisions import *  # noqa: F403
from rackswitch.admission.decisions import __all__ as _decisions_all
from rackswitch.admission.patience import *  # noqa: F403
from rackswitch.admission.patience import __all__ as _patience_all
from rackswitch.admission.refusals import *  # noqa: F403
from rackswitch.admission.refusals import __all__ as _refusals_all
from rackswitch.admission.service_admission import *  # noqa: F403
from rackswitch.admission.service_admission import __all__ as _service_admission_all

__all__ = [*_decisions_all, *_patience_all, *_refusals_all, *_service_admission_all]
