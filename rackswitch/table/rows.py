"""Row types of the table that operators and automation edit."""

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

DEFAULT_CALLER_CLASS = 5
"""Rank of requests whose route and tenant specify none; same as the platform's engines."""


class _Row(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="kind"):
    """Fields common to all rows."""

    name: Name


class TargetRow(_Row, tag="target", frozen=True, kw_only=True):
    """An engine or plain service instance that serves requests."""

    url: str
    zone: Name
    serves: Name
    protocol: str = "openai"
    draining: bool = False
    checks_fencing: bool = True


class ModelRow(_Row, tag="model", frozen=True, kw_only=True):
    """A model with versions; `pinned_version` fixes the version or rolls back to it."""

    pinned_version: NonNegativeInt | None = None
    unavailable_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.34


class RouteChoice(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A weighted choice of model or service for a route, with the allowed version range."""

    serves: Name
    weight: NonNegative = 1.0
    oldest_version: NonNegativeInt = 0
    newest_version: NonNegativeInt | None = None


class Handling(Enum):
    """How requests of a route may be executed."""

    REPEATABLE = "repeatable"
    """May run more than once."""

    ONCE = "once"
    """Runs at most once."""

    BATCH = "batch"
    """Submits a batch job, whose items run later."""


class RouteRow(_Row, tag="route", frozen=True, kw_only=True):
    """A route that callers can request, and the versions that may serve it.

    Callers address a route by name, or by host and path if it has a host.

    Attributes
    ----------
    host, path_prefix : str
        Match requests to this host whose path starts with the prefix; the longest prefix wins.
    timeout_seconds, goal_seconds : float
        Maximum duration of a request, and the latency target.
    caller_class : int
        Priority class of the requests; 0 is served first.
    most_attempts : int
        Maximum number of targets that one request is sent to.
    streams, resumable : bool
        Whether responses are event streams, and whether another target may resume one.
    single_version : bool
        Whether one version must generate the complete sample.
    is_public : bool
        Whether requests need no key.
    due_seconds, keep_seconds : float
        For batch jobs, measured from submission: when all results are due, and when an
        item may be abandoned.
    allowed_regions : tuple of str
        Regions in which its requests may be served, cached and stored; empty for all.
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
    allowed_regions: tuple[str, ...] = ()


class ScalingTerms(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits and prices for ordering a service's targets.

    Attributes
    ----------
    least, most : int
        Minimum and maximum number of targets per availability zone, over all kinds.
    boot_seconds : float
        Time from an order until the new target serves requests.
    reclaimable_price : float
        Price of a reclaimable target relative to a non-reclaimable one.
    zone_prices : dict of str to float
        Price per second of a non-reclaimable target in each zone that offers targets.
    """

    least: NonNegativeInt = 0
    most: NonNegativeInt = 0
    boot_seconds: NonNegative = 0.0
    reclaimable_price: NonNegative = 1.0
    zone_prices: dict[str, float] = {}


class ServiceRow(_Row, tag="service", frozen=True, kw_only=True):
    """Properties shared by all targets of a service.

    Attributes
    ----------
    most_connections : int
        Maximum number of connections that a target accepts from all daemons together.
    slots : int
        Requests that a target processes concurrently; 0 if unknown.
    models : tuple of str
        Models that the targets load; empty for a plain service.
    scaling : ScalingTerms or None
        Limits and prices for ordering targets; None if they cannot be ordered.
    cold_seconds : float
        How long a target is cold after it was started under load; 0 if it never is.
    cold_requests_per_second : float
        Requests per second that a cold target carries, from all daemons together; 0 if unlimited.
    """

    most_connections: NonNegativeInt = 0
    slots: NonNegativeInt = 0
    models: tuple[str, ...] = ()
    scaling: ScalingTerms | None = None
    cold_seconds: NonNegative = 0.0
    cold_requests_per_second: NonNegative = 0.0


class LimitsRow(_Row, tag="limits", frozen=True, kw_only=True):
    """Limits on the size of callers' requests and on connection timeouts."""

    most_header_bytes: NonNegativeInt = 16_384
    most_body_bytes: NonNegativeInt = 33_554_432
    header_timeout_seconds: Positive = 3.0
    idle_timeout_seconds: Positive = 15.0


class TenantRow(_Row, tag="tenant", frozen=True, kw_only=True):
    """A customer whose callers share limits.

    Attributes
    ----------
    key_sha256 : tuple of str
        SHA-256 digests of the customer's keys; a request carries one of the keys.
    caller_class : int or None
        Priority class of its requests, 0 first; None to use the route's.
    allowed_regions : tuple of str
        Regions in which its requests may be served, cached and stored; empty for all.
    """

    key_sha256: tuple[str, ...] = ()
    caller_class: Annotated[int, msgspec.Meta(ge=0)] | None = None
    rate_per_second: Positive = 100.0
    concurrency: Positive = 100.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def rank(self) -> int:
        """Priority class of its requests if the route specifies none."""
        return DEFAULT_CALLER_CLASS if self.caller_class is None else self.caller_class


class TrainerRow(_Row, tag="trainer", frozen=True, kw_only=True):
    """A trainer, with its model, concurrency limit and staleness bound."""

    token_sha256: str
    model: Name
    concurrency: Positive = 64.0
    staleness_bound_versions: NonNegativeInt = 2
    idle_weight: NonNegative = 1.0
    staleness_weight: NonNegative = 1.0
    scorer: Name | None = None


class OperatorRow(_Row, tag="operator", frozen=True, kw_only=True):
    """A person or program that may read or edit the table."""

    token_sha256: str
    role: str = "read"


class DaemonRow(_Row, tag="daemon", frozen=True, kw_only=True):
    """An operator's instruction for one daemon."""

    draining: bool = False


class FleetRow(_Row, tag="fleet", frozen=True, kw_only=True):
    """Fleet-wide settings; `daemon_slots` is the number of base shares of each limit."""

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
