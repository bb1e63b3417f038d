"""Decodes the platform's list of engines and plain services."""

import re
from ipaddress import IPv4Address
from typing import Annotated, Literal

import msgspec

from rackswitch.decoding import Undecodable, decode_json, error_detail
from rackswitch.platform.desired_state import MalformedEntry
from rackswitch.platform.loaded_models import Count, WireLoadedModel, versions_of
from rackswitch.platform.names import SERVERS_PREFIX
from rackswitch.routing import ListedTarget

__all__ = ["decode_target", "target_instance"]

MAX_SLOTS = 100_000
"""Above the concurrency of any engine; an entry with more slots is invalid."""

MAX_MILLISECONDS = 86_400_000
"""A day; no target is cold or leaves for longer."""

ADDRESS_PATTERN = re.compile(r"([0-9.]+):([0-9]{1,5})", re.ASCII)

Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class _WireServer(msgspec.Struct):
    """An entry as targets write it.

    Other writers can also write under the prefix. An entry that lacks a required field, or has
    one of another type or out of range, is rejected; otherwise requests would be sent to a target
    that does not exist. Unknown fields are ignored.
    """

    service: Name
    address: str
    zone: str
    slots: Slots
    state: Literal["ready", "spot", "draining"]
    # Marks a reclaimable engine; state `spot` means the same, and such an engine is ready.
    spot: bool = False
    models: list[WireLoadedModel] = []
    # Start of the target in Unix time; 0 for older targets, which do not report it.
    born: Count = 0
    # Time until a reclaimed target stops, when the entry was written; absent otherwise.
    leaves_ms: Milliseconds | None = None
    # How much longer the target is cold, when the entry was written.
    cold_left_ms: Milliseconds = 0.0
    # Counts heartbeats since the target's start, not orders; only validated here.
    seq: Count = 0


def target_instance(key: str) -> str:
    """Return the instance that a key of the list names."""
    return key.removeprefix(SERVERS_PREFIX)


def decode_target(instance: str, value: bytes) -> ListedTarget | MalformedEntry:
    """Return the target that an entry of the list describes."""
    if not instance.isprintable() or not instance:
        return MalformedEntry("the key names no instance")
    wire = decode_json(value, _WireServer)
    if isinstance(wire, Undecodable):
        return MalformedEntry(f"{instance}: {wire.detail}")
    try:
        host, port = _address(wire.address)
    except ValueError as error:
        return MalformedEntry(f"{instance}: {error_detail(error)}")
    return ListedTarget(
        instance=instance,
        service=wire.service,
        host=host,
        port=port,
        zone=wire.zone,
        slots=wire.slots,
        draining=wire.state == "draining",
        versions=versions_of(wire.models),
        reclaimable=wire.spot or wire.state == "spot",
        started_at_unix_ms=wire.born,
        leaving_in_seconds=_leaving_in_seconds(wire),
        cold_left_seconds=wire.cold_left_ms / 1000,
    )


def _leaving_in_seconds(wire: _WireServer) -> float | None:
    if wire.state != "draining" or wire.leaves_ms is None:
        return None
    return wire.leaves_ms / 1000


def _address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and port of an address.

    Raises
    ------
    ValueError
        If the text is not an IPv4 address with a port.
    """
    parts = ADDRESS_PATTERN.fullmatch(text)
    if parts is None:
        raise ValueError(f"`address` must be IPV4:PORT: {text!r}")
    port = int(parts[2])
    if not 0 < port <= 65535:
        raise ValueError(f"port of `address` must be in 1..65535: {text!r}")
    return str(IPv4Address(parts[1])), port
