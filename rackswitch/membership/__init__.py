"""Failure detection: the daemons that are estimated to be live, and what their VMs can carry."""

from rackswitch.membership.core import *  # noqa: F403
from rackswitch.membership.core import __all__ as _core_all
from rackswitch.membership.vm_capacity import *  # noqa: F403
from rackswitch.membership.vm_capacity import __all__ as _vm_capacity_all

__all__ = [*_core_all, *_vm_capacity_all]
