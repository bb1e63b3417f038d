"""The platform's list of engines and plain services, as listed targets."""

import msgspec

from rackswitch.platform.desired_state import MalformedEntry
from rackswitch.platform.loaded_models import WireLoadedModel, versions_of
from rackswitch.platform.names import SERVERS_PREFIX
from rackswitch.routing import ListedTarget

__all__ = ["decode_target", "target_instance"]


class _WireServer(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    slots: int = 0
    state: str = "ready"
    models: list[WireLoadedModel] = []
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
            draining=wire.state != "ready",
            versions=versions_of(wire.models),
        )
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return MalformedEntry(f"{instance}: {error}")
