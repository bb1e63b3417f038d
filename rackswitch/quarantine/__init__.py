"""Detects requests that end their targets, and holds them back."""

from rackswitch.quarantine.end_investigations import *  # noqa: F403
from rackswitch.quarantine.end_investigations import __all__ as _end_investigations_all
from rackswitch.quarantine.evidence import *  # noqa: F403
from rackswitch.quarantine.evidence import __all__ as _evidence_all
from rackswitch.quarantine.fingerprints import *  # noqa: F403
from rackswitch.quarantine.fingerprints import __all__ as _fingerprints_all
from rackswitch.quarantine.records import *  # noqa: F403
from rackswitch.quarantine.records import __all__ as _records_all
from rackswitch.quarantine.verdicts import *  # noqa: F403
from rackswitch.quarantine.verdicts import __all__ as _verdicts_all

__all__ = [
    *_end_investigations_all,
    *_evidence_all,
    *_fingerprints_all,
    *_records_all,
    *_verdicts_all,
]
