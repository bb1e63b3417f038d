"""Events of changes in a daemon's state: table, targets, versions, roles."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = [
    "EditAccepted",
    "EvacuationEnded",
    "RetireAnswered",
    "RoleAcquired",
    "RoleLost",
    "TableInForce",
    "TargetGone",
    "TargetListed",
    "VersionNamed",
    "ZoneEvacuated",
]


@register_event
class TableInForce(Event, tag="table in force", frozen=True):
    """Another revision of the table took effect at this daemon."""

    revision: int
    revision_before: int


@register_event
class EditAccepted(Event, tag="edit accepted", frozen=True):
    """An operator's edit was written to the table."""

    edit: str
    operator: str


@register_event
class TargetListed(Event, tag="target listed", frozen=True):
    """A target was added to the list of targets, or its entry there changed."""

    target: str
    service: str
    draining: bool
    revision: int


@register_event
class TargetGone(Event, tag="target gone", frozen=True):
    """A target's entry was removed.

    Attributes
    ----------
    still_used : bool
        Whether the target stays in use, as its entry may only have lapsed while the key-value
        service was unreachable.
    """

    target: str
    still_used: bool


@register_event
class VersionNamed(Event, tag="version named", frozen=True):
    """A trainer named another version of a model."""

    model: str
    version: int
    version_before: int


@register_event
class RoleAcquired(Event, tag="role acquired", frozen=True):
    """This daemon acquired a role."""

    role: str
    fencing: int


@register_event
class RoleLost(Event, tag="role lost", frozen=True):
    """This daemon lost a role."""

    role: str
    fencing: int
    reason: str


@register_event
class RetireAnswered(Event, tag="retire", frozen=True):
    """An order to drain a VM was answered."""

    vm: str
    outcome: str


@register_event
class ZoneEvacuated(Event, tag="zone evacuated", frozen=True):
    """Operators had a zone evacuated: its targets get nothing more from this daemon.

    Attributes
    ----------
    revision : int
        Revision of the evacuation's entry in the key-value service.
    list_age_seconds : float
        Age of the last confirmation of the list of targets; -1 if there is none.
    zones_evacuated : int
        Evacuated zones, including this one.
    targets_excluded : dict of str to int
        Targets of evacuated zones, by service.
    """

    zone: str
    revision: int
    list_age_seconds: float
    zones_evacuated: int
    targets_excluded: dict[str, int]


@register_event
class EvacuationEnded(Event, tag="evacuation ended", frozen=True):
    """Operators took the evacuation of a zone back.

    Attributes
    ----------
    revision : int
        Revision of the evacuation's entry, which was deleted.
    list_age_seconds : float
        Age of the last confirmation of the list of targets; -1 if there is none.
    evacuated_seconds : float
        How long this daemon had the zone evacuated.
    zones_evacuated : int
        Zones that are still evacuated.
    targets_excluded : dict of str to int
        Targets of evacuated zones, by service; 0 for services that have none left.
    """

    zone: str
    revision: int
    list_age_seconds: float
    evacuated_seconds: float
    zones_evacuated: int
    targets_excluded: dict[str, int]
