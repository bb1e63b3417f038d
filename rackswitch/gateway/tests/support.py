"""Gateways without a network, on a clock that jumps."""

import os
import random

from rackswitch.daemon.tests.support import make_context
from rackswitch.gateway.contact import StoreContact
from rackswitch.gateway.context import GatewayContext
from rackswitch.platform.settings import NodeSettings
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.telemetry import DecisionLog


def make_settings(name: str) -> NodeSettings:
    return NodeSettings(
        daemon=name,
        machine_class="front",
        host="127.0.0.1",
        zone="z",
        callers=None,
        readiness=None,
        metrics=None,
        peer_ports=(1, 2),
        kv_url="",
        kv_most_value_bytes=1_000_000,
        lease_least_seconds=1.0,
        stop_grace_seconds=8.0,
        order_turn_seconds=3.0,
        fence_checked=False,
        keep_results_seconds=120.0,
    )


def make_gateway_context(
    name: str, store: KvStore, seed: int = 1, faults: KvFaults | None = None
) -> GatewayContext:
    daemon = make_context(name, store, random.Random(seed), faults)
    log = DecisionLog(name, os.open(os.devnull, os.O_WRONLY))
    return GatewayContext(make_settings(name), daemon, StoreContact(log), log)
