"""The kinds of rows that operators and automation write."""

from enum import Enum
from typing import Annotated

import msgspec

__all__ = [
    "DaemonRow",
    "FleetRow",
    "Handling",
    "LimitsRow",
    "ModelRow",
    "OperatorRow",
    "RouteChoice",
    "RouteRow",
    "Row",
    "RowKey",
    "ScalingTerms",
    "ServiceRow",
    "TargetRow",
    "TenantRow",
    "TrainerRow",
    "row_key",
]

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
RowKey = str

MIDDLE_CLASS = 5
"""Rank of requests of which nothing says a rank: that of the platform's engines."""


class _Row(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"):
    """Fields that every row has."""

    name: Name


class TargetRow(_Row, tag="target", frozen=True, kw_only=True):
    """An engine or plain service instance that requests can be sent to."""

    url: str
    zone: Name
    serves: Name
    protocol: str = "openai"
    draining: bool = False
    checks_fencing: bool = True


class ModelRow(_Row, tag="model", frozen=True, kw_only=True):
    """A model whose versions change; `pinned_version` rolls back or holds a version."""

    pinned_version: NonNegativeInt | None = None
    unavailable_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.34


class RouteChoice(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One weighted way to serve a route, with the versions that may."""

    serves: Name
    weight: NonNegative = 1.0
    oldest_version: NonNegativeInt = 0
    newest_version: NonNegativeInt | None = None


class Handling(Enum):
    """How requests of a route may be treated."""

    REPEATABLE = "repeatable"
    """May run more than once."""

    ONCE = "once"
    """Runs at most once."""

    BATCH = "batch"
    """Submits a batch job, whose items run later."""


class RouteRow(_Row, tag="route", frozen=True, kw_only=True):
    """What callers may ask for, and which versions may serve them.

    A route is asked for by its name, or, if it has a host, by host and path.

    Attributes
    ----------
    host, path_prefix : str
        Requests to this host whose path begins so; the longest prefix of a host wins.
    timeout_seconds, goal_seconds : float
        The longest a request is held, and the time within which an answer is wanted.
    caller_class : int
        Rank of the requests, 0 first.
    most_attempts : int
        Targets that one request may be sent to.
    streams, resumable : bool
        Whether answers are event streams, and whether another target may go on with one.
    single_version : bool
        Whether all of a sample must be made by one version.
    is_public : bool
        Whether nobody is asked for a key.
    due_seconds, keep_seconds : float
        For batch jobs, counted from the submission: when all results are due, and from
        when an item may be given up.
    """

    choices: tuple[RouteChoice, ...]
    tenants: tuple[Name, ...] = ()
    host: str = ""
    path_prefix: str = ""
    handling: Handling = Handling.REPEATABLE
    timeout_seconds: Positive = 60.0
    goal_seconds: Positive = 1.0
    caller_class: NonNegativeInt = 5
    most_attempts: Annotated[int, msgspec.Meta(ge=1)] = 4
    streams: bool = False
    resumable: bool = False
    single_version: bool = False
    is_public: bool = False
    due_seconds: Positive = 600.0
    keep_seconds: Positive = 3600.0


class ScalingTerms(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Terms on which a service's targets can be ordered.

    Attributes
    ----------
    least, most : int
        Targets in each availability zone, of all kinds together.
    boot_seconds : float
        From an order until a new target serves.
    reclaimable_price : float
        Price of a target that may be taken away, as a share of a kept one's.
    zone_prices : dict of str to float
        Price of a kept target's second in each zone where targets can be had.
    """

    least: NonNegativeInt = 0
    most: NonNegativeInt = 0
    boot_seconds: NonNegative = 0.0
    reclaimable_price: NonNegative = 1.0
    zone_prices: dict[str, float] = {}


class ServiceRow(_Row, tag="service", frozen=True, kw_only=True):
    """Facts about the targets of one service that do not differ between them.

    Attributes
    ----------
    most_connections : int
        Connections that a target takes from all daemons together.
    slots : int
        Requests that a target works on at once; 0 if that is not known here.
    models : tuple of str
        Models whose versions the targets load; none for a plain service.
    scaling : ScalingTerms or None
        Terms on which targets can be ordered; None if they cannot.
    """

    most_connections: NonNegativeInt = 0
    slots: NonNegativeInt = 0
    models: tuple[str, ...] = ()
    scaling: ScalingTerms | None = None


class LimitsRow(_Row, tag="limits", frozen=True, kw_only=True):
    """What a caller may send, and how long its connection may take or rest."""

    most_header_bytes: NonNegativeInt = 16_384
    most_body_bytes: NonNegativeInt = 33_554_432
    header_timeout_seconds: Positive = 3.0
    idle_timeout_seconds: Positive = 15.0


class TenantRow(_Row, tag="tenant", frozen=True, kw_only=True):
    """A customer whose callers share limits.

    Attributes
    ----------
    key_sha256 : tuple of str
        Digests of its keys; a request carries any of them.
    caller_class : int or None
        Rank of its requests, 0 first; None to go by the route's.
    """

    key_sha256: tuple[str, ...] = ()
    caller_class: Annotated[int, msgspec.Meta(ge=0)] | None = None
    rate_per_second: Positive = 100.0
    concurrency: Positive = 100.0

    @property
    def rank(self) -> int:
        """Rank of its requests where no route says one."""
        return MIDDLE_CLASS if self.caller_class is None else self.caller_class


class TrainerRow(_Row, tag="trainer", frozen=True, kw_only=True):
    """A trainer: what it may draw and how old a sample may be."""

    token_sha256: str
    model: Name
    concurrency: Positive = 64.0
    staleness_bound_versions: NonNegativeInt = 2
    idle_weight: NonNegative = 1.0
    staleness_weight: NonNegative = 1.0
    scorer: Name | None = None


class OperatorRow(_Row, tag="operator", frozen=True, kw_only=True):
    """A person or automation that may read or change the table."""

    token_sha256: str
    role: str = "read"


class DaemonRow(_Row, tag="daemon", frozen=True, kw_only=True):
    """An operator's order about one daemon."""

    draining: bool = False


class FleetRow(_Row, tag="fleet", frozen=True, kw_only=True):
    """Facts about the whole fleet; `daemon_slots` divides each limit into base shares."""

    daemon_slots: Annotated[int, msgspec.Meta(ge=1)] = 9


Row = (
    TargetRow
    | ModelRow
    | RouteRow
    | ServiceRow
    | LimitsRow
    | TenantRow
    | TrainerRow
    | OperatorRow
    | DaemonRow
    | FleetRow
)


def row_key(row: Row) -> RowKey:
    """Return the row's key, ``kind/name``."""
    return f"{row.__struct_config__.tag}/{row.name}"
