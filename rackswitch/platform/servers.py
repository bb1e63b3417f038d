"""The platform's list of engines and plain services, as listed targets."""

import msgspec

from rackswitch.platform.desired_state import MalformedEntry
from rackswitch.platform.loaded_models import WireLoadedModel, versions_of
from rackswitch.platform.names import SERVERS_PREFIX
from rackswitch.routing import ListedTarget

__all__ = ["decode_target", "target_instance"]


SERVING_STATES = ("ready", "spot")
"""An engine that may be taken away says so; where it does that in place of `ready`, it serves."""


class _WireServer(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    slots: int = 0
    state: str = "ready"
    models: list[WireLoadedModel] = []
    # An engine that the platform may take away at short notice.
    spot: bool = False
    # `version` is that of the engine's software and `seq` counts heartbeats; neither says
    # anything about weights or orders, so they are not read.


def target_instance(key: str) -> str:
    """Return the instance that a key of the list is about."""
    return key.removeprefix(SERVERS_PREFIX)


def decode_target(instance: str, value: bytes) -> ListedTarget | MalformedEntry:
    """Return a target as it lists itself."""
    try:
        wire = msgspec.json.decode(value, type=_WireServer)
        host, _, port = wire.address.rpartition(":")
        return ListedTarget(
            instance=instance,
            service=wire.service,
            host=host,
            port=int(port),
            zone=wire.zone,
            slots=wire.slots,
            draining=wire.state not in SERVING_STATES,
            versions=versions_of(wire.models),
            reclaimable=wire.spot or wire.state == "spot",
        )
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return MalformedEntry(f"{instance}: {error}")
