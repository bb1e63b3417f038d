"""Events of changes in a daemon's state: table, targets, versions, roles."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = [
    "ColdTargetHeld",
    "ColdTargetSent",
    "EditAccepted",
    "EvacuationEnded",
    "RetireAnswered",
    "RoleAcquired",
    "RoleLost",
    "RoleNotAcquired",
    "TableInForce",
    "TargetCold",
    "TargetGone",
    "TargetListed",
    "TargetWarm",
    "VersionNamed",
    "ZoneEvacuated",
]


@register_event
class TableInForce(Event, tag="table in force", frozen=True):
    """Another revision of the table took effect at this daemon.

    Attributes
    ----------
    entry_revision : int
        The key-value service's revision at which it acknowledged the table; 0 if unknown.
    received_from : str
        The daemon whose replica brought the table; empty for the service itself. That daemon's own
        line names the next one on the path.
    unconfirmed_seconds : float
        For how long the replica had not been confirmed before; -1 if never.
    """

    revision: int
    revision_before: int
    entry_revision: int = 0
    received_from: str = ""
    unconfirmed_seconds: float = -1.0


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
class RoleNotAcquired(Event, tag="role not acquired", frozen=True):
    """This daemon tried to acquire a vacant role and did not get it.

    Attributes
    ----------
    retry_in_seconds : float
        Time until the next attempt.
    """

    role: str
    reason: str
    retry_in_seconds: float


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


class TargetCold(Event, tag="target cold", frozen=True):
    """A target became cold: it carries only a few requests a second from all daemons together.

    Attributes
    ----------
    left_seconds : float
        How much longer it is cold.
    source : str
        `entry` or `evacuation ended`.
    """

    target: str
    service: str
    zone: str
    left_seconds: float
    source: str


@register_event
class TargetWarm(Event, tag="target warm", frozen=True):
    """A cold target is warm, or it left while it was cold (`is_listed` is false)."""

    target: str
    service: str
    zone: str
    is_listed: bool


class _ColdTargetEvent(Event, frozen=True):
    """A request for a target that is cold or has just become warm.

    Attributes
    ----------
    request : str
        Identity of the request or item.
    kind : str
        `call` or `text`.
    cold_left_seconds : float
        How much longer the target is cold; negative for the time since it became warm.
    """

    request: str
    target: str
    service: str
    kind: str
    cold_left_seconds: float

    @property
    def is_routine(self) -> bool:
        return True


@register_event
class ColdTargetSent(_ColdTargetEvent, tag="sent within the cold budget", frozen=True):
    """A request was sent within this daemon's budget for a cold target."""


@register_event
class ColdTargetHeld(_ColdTargetEvent, tag="target cold, budget used", frozen=True):
    """A request was not sent, as this daemon's budget for a cold target is used up."""
