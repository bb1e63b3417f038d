"""Gateways without a network, on a clock that jumps."""

import random

from rackswitch.daemon.tests.support import make_context
from rackswitch.gateway.contact import StoreContact
from rackswitch.gateway.context import GatewayContext
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.standins.platform_fleet import stand_in_settings


def make_gateway_context(
    name: str, store: KvStore, seed: int = 1, faults: KvFaults | None = None
) -> GatewayContext:
    daemon = make_context(name, store, random.Random(seed), faults)
    return GatewayContext(stand_in_settings(name), daemon, StoreContact(daemon.log))
