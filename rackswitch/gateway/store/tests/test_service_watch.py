"""What the daemon that watches for all tells its followers, on a clock that jumps.

What an operator saw: after an outage of the key-value service the daemon that had watched for all
watched again, and told everybody for the rest of its life that it was cut off. Its followers
asked it each second and followed another daemon that watched as well.

The cause: failures were counted when a watch ended, and one that goes well does not end.
"""

import asyncio

from rackswitch.clients.kv import KvUnavailable, WatchNews
from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.store.replica_set import ReplicaHandlers, ReplicaSet
from rackswitch.gateway.store.service_watch import CUT_OFF_FAILURES, ServiceWatch
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.standins.kv_store import KvStore

PREFIX = "p/"


class RecoveringKv:
    """Breaks the first watches, answers the next one for a while and breaks that as well."""

    def __init__(self, failures: int):
        self.failures_left = failures

    async def watch(self, key, from_revision):
        while not self.failures_left:
            yield WatchNews((), from_revision)
            await asyncio.sleep(1.0)
        self.failures_left -= 1
        yield KvUnavailable("silent", effect_unknown=False)


def test_who_watches_for_all_and_is_answered_again_is_cut_off_no_more():
    async def scenario():
        context = make_gateway_context("a", KvStore())
        handlers = ReplicaHandlers(lambda entry: None, lambda key: None)
        replicas = ReplicaSet({PREFIX: handlers})
        replicas.by_prefix[PREFIX].revision = 1
        watch = ServiceWatch(context, replicas, PREFIX)
        context.daemon.kv = RecoveringKv(CUT_OFF_FAILURES)
        watch.set_enabled(enabled=True, is_root=True)
        running = asyncio.create_task(watch.run())
        observed = [await is_ever_cut_off(watch), watch.is_cut_off]
        # One more answer that is lost is no cut.
        context.daemon.kv.failures_left = 1
        observed.append(await is_ever_cut_off(watch))
        running.cancel()
        return observed

    assert run_virtual(scenario()) == [True, False, False]


async def is_ever_cut_off(watch: ServiceWatch) -> bool:
    observed = False
    for _ in range(60):
        await asyncio.sleep(0.05)
        observed = observed or watch.is_cut_off
    return observed
