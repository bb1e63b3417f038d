"""Decodes what operators and trainers write to the platform's key-value service."""

from dataclasses import dataclass

import msgspec

from rackswitch.decoding import Undecodable, decode_json
from rackswitch.platform.loaded_models import Count
from rackswitch.platform.names import (
    CONFIG_KEY,
    EVACUATE_PREFIX,
    RETIRE_PREFIX,
    RETIRE_STATUS_PREFIX,
    VERSION_PREFIX,
)
from rackswitch.table import (
    Handling,
    LimitsRow,
    RouteChoice,
    RouteRow,
    Row,
    ScalingTerms,
    ServiceRow,
    StoredRow,
    TableDocument,
    TenantRow,
    row_key,
    shared_key,
)
from rackswitch.tenants import key_digest

__all__ = [
    "LIMITS_NAME",
    "EvacuationOrder",
    "MalformedEntry",
    "NamedVersion",
    "OperatorEntry",
    "RetireOrder",
    "decode_desired_state",
    "decode_operator_entry",
    "encode_retired",
    "evacuated_zone",
]

LIMITS_NAME = "callers"
"""Name of the only row of callers' limits."""

HANDLING_BY_KIND = {
    "safe": Handling.REPEATABLE,
    "unsafe": Handling.ONCE,
    "rollout": Handling.BATCH,
}


@dataclass(frozen=True, slots=True)
class MalformedEntry:
    """An entry of the platform that is malformed; the previous one stays in force."""

    detail: str


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version of a model's weights that its trainer has published."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class RetireOrder:
    """An order to move all durable data off a VM."""

    vm: str


@dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """An order to send nothing more to the targets of an availability zone."""

    zone: str


OperatorEntry = TableDocument | NamedVersion | RetireOrder | EvacuationOrder | MalformedEntry


class _WireSplit(msgspec.Struct):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str = "unsafe"
    service: str | None = None
    split: list[_WireSplit] = []
    timeout_ms: float = 60_000
    # A latency target, not a timeout.
    goal_ms: float = 1_000
    # For batch jobs: deadline of all results, counted from the first submission.
    run_target_ms: float = 600_000
    keep_s: float = 3_600
    priority: int = 5
    # Counts distinct engines; a retry at the same engine does not count.
    max_attempts: int = 1
    streaming: bool = False
    resumable: bool = False
    single_version: bool = False
    public: bool = False
    allowed_regions: list[str] = []


class _WireModel(msgspec.Struct):
    name: str


class _WireEngine(msgspec.Struct):
    slots: int = 0
    models: list[_WireModel] = []


class _WireScaling(msgspec.Struct):
    # Bounds per zone, for both kinds of engines together.
    min: int = 0
    max: int = 0
    boot_s: float = 0.0
    # A fraction of the price in `zone_prices`, not a price.
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _WireService(msgspec.Struct):
    name: str
    max_conns: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    scaling: _WireScaling | None = None
    engine: _WireEngine | None = None


class _WireLimits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _WireTenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # If absent, the priority of the route applies.
    priority: int | None = None
    allowed_regions: list[str] = []


class _WireConfig(msgspec.Struct):
    version: Count
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] = []


class _WireVersion(msgspec.Struct):
    model: str
    version: Count


def decode_desired_state(value: bytes) -> TableDocument | MalformedEntry:
    """Return the operators' desired state as a table, whose revision is its version."""
    wire = decode_json(value, _WireConfig)
    if isinstance(wire, Undecodable):
        return MalformedEntry(wire.detail)
    fault = _scaling_fault(wire.services)
    if fault is not None:
        return MalformedEntry(fault)
    rows: list[Row] = [_limits_row(wire.limits)]
    rows.extend(_service_row(service) for service in wire.services)
    rows.extend(_route_row(route) for route in wire.routes)
    tenants = [_tenant_row(tenant) for tenant in wire.tenants]
    sharing_tenants = shared_key(tenants)
    if sharing_tenants is not None:
        # The message is logged, so it must not contain the key.
        return MalformedEntry(
            f"`tenants`: {sharing_tenants[0]!r} and {sharing_tenants[1]!r} have one key in common"
        )
    rows.extend(tenants)
    stored = {row_key(row): StoredRow(wire.version, row) for row in rows}
    return TableDocument(revision=wire.version, rows=stored)


def decode_operator_entry(key: str, value: bytes) -> OperatorEntry | None:
    """Return a decoded entry of the operators or trainers; None for a key that is not used here."""
    if key == CONFIG_KEY:
        return decode_desired_state(value)
    if key.startswith(VERSION_PREFIX):
        return _named_version(value)
    if key.startswith(RETIRE_PREFIX):
        return RetireOrder(key.removeprefix(RETIRE_PREFIX))
    zone = evacuated_zone(key)
    # The key alone is the order; its value holds nothing.
    return EvacuationOrder(zone) if zone is not None else None


def evacuated_zone(key: str) -> str | None:
    """Return the zone that a written or deleted key is about; None if it is no evacuation."""
    if not key.startswith(EVACUATE_PREFIX):
        return None
    return key.removeprefix(EVACUATE_PREFIX) or None


def _named_version(value: bytes) -> NamedVersion | MalformedEntry:
    wire = decode_json(value, _WireVersion)
    if isinstance(wire, Undecodable):
        return MalformedEntry(wire.detail)
    return NamedVersion(wire.model, wire.version)


def encode_retired(vm: str) -> tuple[str, bytes]:
    """Return the key and value that report that a VM holds no more durable data."""
    return RETIRE_STATUS_PREFIX + vm, msgspec.json.encode({"state": "completed"})


def _limits_row(wire: _WireLimits) -> LimitsRow:
    return LimitsRow(
        name=LIMITS_NAME,
        most_header_bytes=wire.max_header_bytes,
        most_body_bytes=wire.max_body_bytes,
        header_timeout_seconds=wire.header_timeout_ms / 1000,
        idle_timeout_seconds=wire.idle_timeout_ms / 1000,
    )


def _tenant_row(wire: _WireTenant) -> TenantRow:
    return TenantRow(
        name=wire.name,
        key_sha256=tuple(key_digest(key) for key in wire.api_keys),
        caller_class=None if wire.priority is None else max(0, wire.priority),
        allowed_regions=tuple(wire.allowed_regions),
    )


def _service_row(wire: _WireService) -> ServiceRow:
    engine = wire.engine or _WireEngine()
    return ServiceRow(
        name=wire.name,
        most_connections=wire.max_conns,
        slots=engine.slots,
        models=tuple(model.name for model in engine.models),
        scaling=_scaling_terms(wire.scaling) if wire.scaling is not None else None,
        cold_seconds=max(0.0, wire.cold_s),
        cold_requests_per_second=max(0.0, wire.cold_per_s),
    )


def _scaling_terms(wire: _WireScaling) -> ScalingTerms:
    return ScalingTerms(
        least=wire.min,
        most=wire.max,
        boot_seconds=wire.boot_s,
        reclaimable_price=wire.spot_price,
        zone_prices=wire.zone_prices,
    )


def _scaling_fault(services: list[_WireService]) -> str | None:
    """Return a message that names the invalid field of the scaling terms, or None."""
    for service in services:
        scaling = service.scaling
        if scaling is None:
            continue
        location = f"`scaling` of {service.name!r}: "
        if not 0 <= scaling.min <= scaling.max:
            return (
                f"{location}`min` {scaling.min} and `max` {scaling.max} "
                "must satisfy 0 <= min <= max"
            )
        if scaling.spot_price < 0 or scaling.boot_s < 0:
            return f"{location}`spot_price` and `boot_s` must not be negative"
        for zone, price in scaling.zone_prices.items():
            if price < 0:
                return f"{location}`zone_prices` of {zone!r} must not be negative"
    return None


def _route_row(wire: _WireRoute) -> RouteRow:
    if wire.split:
        choices = [RouteChoice(serves=part.service, weight=part.weight) for part in wire.split]
    else:
        choices = [RouteChoice(serves=wire.service or "")]
    return RouteRow(
        name=wire.name,
        choices=tuple(choices),
        host=wire.host,
        path_prefix=wire.path_prefix,
        # Requests of an unknown kind are never repeated.
        handling=HANDLING_BY_KIND.get(wire.kind, Handling.ONCE),
        timeout_seconds=wire.timeout_ms / 1000,
        goal_seconds=wire.goal_ms / 1000,
        caller_class=max(0, wire.priority),
        most_attempts=max(1, wire.max_attempts),
        streams=wire.streaming or wire.kind == "streaming",
        resumable=wire.resumable,
        single_version=wire.single_version,
        is_public=wire.public,
        due_seconds=wire.run_target_ms / 1000,
        keep_seconds=wire.keep_s,
        allowed_regions=tuple(wire.allowed_regions),
    )
