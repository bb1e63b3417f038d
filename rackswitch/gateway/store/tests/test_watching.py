"""Copies that follow another daemon over a real connection."""

import asyncio

from rackswitch.clients.kv import KvEntry, WatchNews
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.peer_service import GatewayPeersService
from rackswitch.gateway.store.watching import CopyHandlers, CopyKeeper
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.membership import VmEntry
from rackswitch.peers.links import PeerLinks
from rackswitch.standins.kv_store import KvStore

PREFIX = "p/"


def make_keeper(name: str, told: list[str]) -> CopyKeeper:
    context = make_gateway_context(name, KvStore())
    handlers = CopyHandlers(
        lambda entry: told.append(entry.key), lambda key: told.append("-" + key)
    )
    return CopyKeeper(context, {PREFIX: handlers}, EnginePaces())


def put(keeper: CopyKeeper, key: str, revision: int) -> None:
    copy = keeper.copies[PREFIX]
    news = WatchNews((KvEntry(key, b"v", revision, revision),), revision)
    copy.apply(news)
    copy.confirmed_at_seconds = keeper._context.now_seconds()
    keeper._tell(copy, news)


async def make_pair(told: list[str]) -> tuple[CopyKeeper, CopyKeeper, GatewayPeersService]:
    leader, follower = make_keeper("a", []), make_keeper("c", told)
    service = GatewayPeersService(leader._context, leader, reader=None, jobs=None, passed_on=None)
    await service.start("127.0.0.1", 0)
    port = service._server._server.sockets[0].getsockname()[1]
    entries = [
        VmEntry("a", "127.0.0.1", port, "z", False),
        VmEntry("b", "127.0.0.1", 1, "z", False),
    ]
    follower._context.daemon.links = PeerLinks("")
    follower._context.daemon.membership.learn_listed(entries, 0.0)
    return leader, follower, service


def test_a_follower_is_told_of_what_its_leader_learns():
    async def scenario():
        told: list[str] = []
        leader, follower, service = await make_pair(told)
        put(leader, "p/x", 5)
        follower.copies[PREFIX].replace([], 4)
        assert await follower._follow("a")
        assert told == ["p/x"]
        waiting = asyncio.create_task(follower._follow("a"))
        await asyncio.sleep(0.05)
        put(leader, "p/y", 6)
        assert await waiting
        assert told == ["p/x", "p/y"]
        assert follower._choice.is_following
        follower._context.daemon.links.close()
        await service.stop()

    asyncio.run(scenario())


def test_leader_and_follower_tell_each_other_which_engines_are_slow():
    async def scenario():
        leader, follower, service = await make_pair([])
        put(leader, "p/x", 5)
        follower.copies[PREFIX].replace([], 4)
        now_seconds = follower._context.now_seconds()
        leader._paces.note("e1", 0.12, now_seconds)
        follower._paces.note("e2", 0.13, now_seconds)
        assert await follower._follow("a")
        assert follower._paces.get("e1", now_seconds) == 0.12
        assert leader._paces.get("e2", now_seconds) == 0.13
        follower._context.daemon.links.close()
        await service.stop()

    asyncio.run(scenario())


def test_a_leader_whose_copy_nobody_vouches_for_is_not_followed():
    async def scenario():
        leader, follower, service = await make_pair([])
        put(leader, "p/x", 5)
        leader.copies[PREFIX].confirmed_at_seconds -= 10.0
        follower.copies[PREFIX].replace([], 4)
        assert not await follower._follow("a")
        assert not follower._choice.is_following
        follower._context.daemon.links.close()
        await service.stop()

    asyncio.run(scenario())


def test_a_daemon_that_follows_another_refuses_followers():
    async def scenario():
        leader, follower, service = await make_pair([])
        put(leader, "p/x", 5)
        leader._choice.succeeded("b")
        follower.copies[PREFIX].replace([], 4)
        assert not await follower._follow("a")
        follower._context.daemon.links.close()
        await service.stop()

    asyncio.run(scenario())
