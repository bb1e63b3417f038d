"""Samples: labels, staleness, scheduling, and exactly-once delivery to trainers."""

from rackswitch.samples.labels import *  # noqa: F403
from rackswitch.samples.labels import __all__ as _labels_all
from rackswitch.samples.ledger import *  # noqa: F403
from rackswitch.samples.ledger import __all__ as _ledger_all
from rackswitch.samples.messages import *  # noqa: F403
from rackswitch.samples.messages import __all__ as _messages_all
from rackswitch.samples.work import *  # noqa: F403
from rackswitch.samples.work import __all__ as _work_all

__all__ = [*_labels_all, *_ledger_all, *_messages_all, *_work_all]
