"""Detection that the root is cut off from the service, on a virtual clock.

Guards against a root that reports "cut off" forever: a working watch never ends, so failures must
be reset while it runs.
"""

import asyncio

from rackswitch.clients.kv import KvUnavailable, WatchUpdate
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.store.replica_set import ReplicaHandlers, ReplicaSet
from rackswitch.gateway.store.service_watch import CUT_OFF_FAILURES, ServiceWatch
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.standins.kv_store import KvStore

PREFIX = "p/"


class RecoveringKv:
    """Fails `failures_left` watches; later ones work until it is set again."""

    def __init__(self, failures: int):
        self.failures_left = failures

    async def watch(self, key, from_revision):
        while not self.failures_left:
            yield WatchUpdate((), from_revision)
            await asyncio.sleep(1.0)
        self.failures_left -= 1
        yield KvUnavailable("silent", effect_unknown=False)


def test_the_root_is_not_cut_off_after_its_watch_recovers():
    async def scenario():
        context = make_gateway_context("a", KvStore())
        handlers = ReplicaHandlers(lambda entry: None, lambda key: None)
        replicas = ReplicaSet({PREFIX: handlers})
        replicas.by_prefix[PREFIX].revision = 1
        watch = ServiceWatch(context, replicas, PREFIX)
        context.daemon.kv = RecoveringKv(CUT_OFF_FAILURES)
        watch.set_enabled(enabled=True, is_root=True)
        watch_task = asyncio.create_task(watch.run())
        observed = [await is_ever_cut_off(watch), watch.is_cut_off]
        # A single failure does not count as cut off.
        context.daemon.kv.failures_left = 1
        observed.append(await is_ever_cut_off(watch))
        watch_task.cancel()
        return observed

    assert run_on_virtual_clock(scenario()) == [True, False, False]


async def is_ever_cut_off(watch: ServiceWatch) -> bool:
    observed = False
    for _ in range(60):
        await asyncio.sleep(0.05)
        observed = observed or watch.is_cut_off
    return observed
