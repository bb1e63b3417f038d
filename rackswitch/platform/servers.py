"""The platform's list of engines and plain services, as listed targets."""

import re
from ipaddress import IPv4Address
from typing import Annotated, Literal

import msgspec

from rackswitch.platform.desired_state import MalformedEntry
from rackswitch.platform.loaded_models import Count, WireLoadedModel, versions_of
from rackswitch.platform.names import SERVERS_PREFIX
from rackswitch.routing import ListedTarget

__all__ = ["decode_target", "target_instance"]

MAX_SLOTS = 100_000
"""More than any engine works on at once; a larger number is another writer's."""

ADDRESS = re.compile(r"([0-9.]+):([0-9]{1,5})", re.ASCII)

Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class _WireServer(msgspec.Struct):
    """An entry as targets write it.

    Anybody may write under the prefix. What lacks a field that is needed to use a target, or has
    one of another type or out of its range, names none: taken for a target, it would get requests
    that nobody answers. Fields that are not known are passed over.
    """

    service: Name
    address: str
    zone: str
    slots: Slots
    state: Literal["ready", "spot", "draining"]
    # An engine that may be taken away says so; where it does that in place of `ready`, it serves.
    spot: bool = False
    models: list[WireLoadedModel] = []
    # When the target started, in Unix time; older ones do not tell.
    born: Count = 0
    # What is left of the time that one which is taken away still has; others do not tell.
    leaves_ms: Milliseconds | None = None
    # Counts heartbeats, from the target's start on; it is checked, but says nothing of orders.
    seq: Count = 0


def target_instance(key: str) -> str:
    """Return the instance that a key of the list is about."""
    return key.removeprefix(SERVERS_PREFIX)


def decode_target(instance: str, value: bytes) -> ListedTarget | MalformedEntry:
    """Return a target as it lists itself."""
    try:
        wire = msgspec.json.decode(value, type=_WireServer)
        host, port = _address(wire.address)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return MalformedEntry(f"{instance}: {error}")
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
    )


def _leaving_in_seconds(wire: _WireServer) -> float | None:
    if wire.state != "draining" or wire.leaves_ms is None:
        return None
    return wire.leaves_ms / 1000


def _address(text: str) -> tuple[str, int]:
    """Return the host and port of an address by IP number.

    Raises
    ------
    ValueError
        If it is none.
    """
    parts = ADDRESS.fullmatch(text)
    if parts is None:
        raise ValueError(f"no address: {text!r}")
    port = int(parts[2])
    if not 0 < port <= 65535:
        raise ValueError(f"no port: {text!r}")
    return str(IPv4Address(parts[1])), port
