"""Handling of a request: claims, attempts, retries and the check of its answer."""

from rackswitch.requests.attempts import *  # noqa: F403
from rackswitch.requests.attempts import __all__ as _attempts_all
from rackswitch.requests.backoff import *  # noqa: F403
from rackswitch.requests.backoff import __all__ as _backoff_all
from rackswitch.requests.calls import *  # noqa: F403
from rackswitch.requests.calls import __all__ as _calls_all
from rackswitch.requests.claims import *  # noqa: F403
from rackswitch.requests.claims import __all__ as _claims_all
from rackswitch.requests.hedging import *  # noqa: F403
from rackswitch.requests.hedging import __all__ as _hedging_all
from rackswitch.requests.outages import *  # noqa: F403
from rackswitch.requests.outages import __all__ as _outages_all
from rackswitch.requests.stopping import *  # noqa: F403
from rackswitch.requests.stopping import __all__ as _stopping_all
from rackswitch.requests.stream import *  # noqa: F403
from rackswitch.requests.stream import __all__ as _stream_all

__all__ = [
    *_attempts_all,
    *_backoff_all,
    *_calls_all,
    *_claims_all,
    *_hedging_all,
    *_outages_all,
    *_stopping_all,
    *_stream_all,
]
