"""Daemon contexts without a network, on a virtual clock."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import looptime

from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.settings import DaemonSettings
from rackswitch.membership import Membership, MemberState, MemberUpdate
from rackswitch.peers.links import PeerLinks
from rackswitch.standins.faulty_kv import FaultyKv, KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import TableView
from rackswitch.telemetry import DecisionLog


class NullTelemetry:
    def record_request(self, *labels: object) -> None:
        pass

    def count_tokens(self, *labels: object) -> None:
        pass


IDLE_CYCLES = 1
"""Empty event loop cycles before the clock jumps; the tests do no real input or output."""


def run_on_virtual_clock(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on an event loop with a virtual clock that skips waits."""
    loop = looptime.new_event_loop(noop_cycles=IDLE_CYCLES)
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def make_context(
    name: str, store: KvStore, rng: random.Random, faults: KvFaults | None = None
) -> DaemonContext:
    settings = DaemonSettings(
        daemon=name,
        zone="z",
        kv_url="",
        weight_store_url="",
        vm_list_url="",
        fleet_secret="s",
        operator_token_sha256="",
        lease_seconds=3.0,
    )
    own = MemberUpdate(name, "127.0.0.1", 1, "z", 1, MemberState.ALIVE)
    return DaemonContext(
        settings=settings,
        sessions=None,  # type: ignore[arg-type]
        kv=FaultyKv(store, rng, faults or KvFaults()),
        links=PeerLinks("s"),
        view=TableView(),
        membership=Membership(own, 1.0, rng),
        telemetry=NullTelemetry(),  # type: ignore[arg-type]
        log=DecisionLog(name, None),
        rng=rng,
    )
