"""The kinds of rows that operators and automation write."""

from typing import Annotated

import msgspec

__all__ = [
    "DaemonRow",
    "FleetRow",
    "ModelRow",
    "OperatorRow",
    "RouteChoice",
    "RouteRow",
    "Row",
    "RowKey",
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


class RouteRow(_Row, tag="route", frozen=True, kw_only=True):
    """What callers may ask for by this name, and which versions may serve them."""

    choices: tuple[RouteChoice, ...]
    tenants: tuple[Name, ...] = ()


class TenantRow(_Row, tag="tenant", frozen=True, kw_only=True):
    """A caller: its token's hash, class and limits."""

    token_sha256: str
    caller_class: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    rate_per_second: Positive = 100.0
    concurrency: Positive = 100.0


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


Row = TargetRow | ModelRow | RouteRow | TenantRow | TrainerRow | OperatorRow | DaemonRow | FleetRow


def row_key(row: Row) -> RowKey:
    """Return the row's key, ``kind/name``."""
    return f"{row.__struct_config__.tag}/{row.name}"
