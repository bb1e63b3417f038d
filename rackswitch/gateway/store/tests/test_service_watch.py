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


class BackAgainKv:
    """Breaks the first watches, answers the next one for a while and breaks that as well."""

    def __init__(self, breaks: int):
        self.breaks_left = breaks

    async def watch(self, key, from_revision):
        while not self.breaks_left:
            yield WatchNews((), from_revision)
            await asyncio.sleep(1.0)
        self.breaks_left -= 1
        yield KvUnavailable("silent", effect_unknown=False)


def test_who_watches_for_all_and_is_answered_again_is_cut_off_no_more():
    async def scenario():
        context = make_gateway_context("a", KvStore())
        handlers = ReplicaHandlers(lambda entry: None, lambda key: None)
        copies = ReplicaSet({PREFIX: handlers})
        copies.by_prefix[PREFIX].revision = 1
        watch = ServiceWatch(context, copies, PREFIX)
        context.daemon.kv = BackAgainKv(CUT_OFF_FAILURES)
        watch.switch(on=True, for_all=True)
        running = asyncio.create_task(watch.run())
        seen = [await ever_cut_off(watch), watch.is_cut_off]
        # One more answer that is lost is no cut.
        context.daemon.kv.breaks_left = 1
        seen.append(await ever_cut_off(watch))
        running.cancel()
        return seen

    assert run_virtual(scenario()) == [True, False, False]


async def ever_cut_off(watch: ServiceWatch) -> bool:
    seen = False
    for _ in range(60):
        await asyncio.sleep(0.05)
        seen = seen or watch.is_cut_off
    return seen
