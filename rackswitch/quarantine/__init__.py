"""Requests under which targets end: knowing them again, proving the ends, holding them back."""

from rackswitch.quarantine.fingerprints import *  # noqa: F403
from rackswitch.quarantine.fingerprints import __all__ as _fingerprints_all
from rackswitch.quarantine.inquiries import *  # noqa: F403
from rackswitch.quarantine.inquiries import __all__ as _inquiries_all

__all__ = [*_fingerprints_all, *_inquiries_all]
