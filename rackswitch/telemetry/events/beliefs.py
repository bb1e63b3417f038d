"""What is logged when a daemon's beliefs change: table, targets, versions, roles."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = [
    "EditAccepted",
    "RetireAnswered",
    "RoleAcquired",
    "RoleLost",
    "TableInForce",
    "TargetGone",
    "TargetListed",
    "VersionNamed",
]


@registered
class TableInForce(Event, tag="table in force", frozen=True):
    """Another revision of the table holds here."""

    revision: int
    revision_before: int


@registered
class EditAccepted(Event, tag="edit accepted", frozen=True):
    """An operator's edit is in the table."""

    edit: str
    operator: str


@registered
class TargetListed(Event, tag="target listed", frozen=True):
    """A target is new in the list, or its state there has changed."""

    target: str
    service: str
    draining: bool
    revision: int


@registered
class TargetGone(Event, tag="target gone", frozen=True):
    """A target's entry is gone; `still_used` if it may only have lapsed with the service."""

    target: str
    still_used: bool


@registered
class VersionNamed(Event, tag="version named", frozen=True):
    """A trainer has named a version of a model."""

    model: str
    version: int
    version_before: int


@registered
class RoleAcquired(Event, tag="role acquired", frozen=True):
    """This daemon holds a role."""

    role: str
    fencing: int


@registered
class RoleLost(Event, tag="role lost", frozen=True):
    """This daemon does not hold a role any more."""

    role: str
    fencing: int
    reason: str


@registered
class RetireAnswered(Event, tag="retire", frozen=True):
    """An order to empty a VM was answered."""

    vm: str
    outcome: str
