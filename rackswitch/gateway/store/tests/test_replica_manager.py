"""Replicas that follow other daemons, over a real connection."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from rackswitch.clients.kv import KvEntry, WatchUpdate
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.peer_service import GatewayPeersService
from rackswitch.gateway.store.replica_manager import ReplicaManager
from rackswitch.gateway.store.replica_server import ReplicaServer
from rackswitch.gateway.store.replica_set import ReplicaHandlers
from rackswitch.gateway.tests.support import make_gateway_context, make_member, state_cold_rate
from rackswitch.membership import VmEntry
from rackswitch.peers.links import PeerLinks
from rackswitch.spread import max_age_seconds
from rackswitch.standins.faulty_kv import FaultyKv, KvFaults
from rackswitch.standins.kv_store import KvStore

PREFIX = "p/"


class WatchedKv(FaultyKv):
    """Confirms periodically that nothing has changed."""

    async def watch(self, key, from_revision):
        while True:
            await asyncio.sleep(0.2)
            yield WatchUpdate((), from_revision)


class SlowLinks(PeerLinks):
    """Adds a latency of 0.1 s in each direction."""

    async def call(self, *args):
        await asyncio.sleep(0.1)
        reply = await super().call(*args)
        await asyncio.sleep(0.1)
        return reply


class Daemon:
    """The replicas of one daemon, and its service for followers."""

    def __init__(self, name: str):
        self.notified_keys: list[str] = []
        self.context = make_gateway_context(name, KvStore())
        self.context.daemon.links = PeerLinks("")
        self.paces = EnginePaces()
        handlers = ReplicaHandlers(
            lambda entry: self.notified_keys.append(entry.key),
            lambda key: self.notified_keys.append("-" + key),
        )
        self.replica_manager = ReplicaManager(self.context, {PREFIX: handlers}, self.paces, PREFIX)
        self.replicas = self.replica_manager._replicas
        self.follower = self.replica_manager._follower
        self.service = GatewayPeersService(
            self.context,
            self.replica_manager.server,
            reader=None,
            jobs=None,
            forwarded_calls=None,
            forwarded_job_receiver=None,
            usage=None,
            quarantine=None,
        )

    async def start(self) -> VmEntry:
        await self.service.start("127.0.0.1", 0)
        port = self.service._server._server.sockets[0].getsockname()[1]
        return VmEntry(self.context.daemon_name, "127.0.0.1", port, "z", False)

    async def stop(self) -> None:
        self.context.daemon.links.close()
        await self.service.stop()

    def put(self, key: str, revision: int, age_seconds: float = 0.0) -> None:
        """Apply a change as if the service had sent it `age_seconds` ago."""
        update = WatchUpdate((KvEntry(key, b"v", revision, revision),), revision)
        self.replicas.apply_changes(PREFIX, update)
        self.replicas.confirm(PREFIX, self.now_seconds() - age_seconds)

    def now_seconds(self) -> float:
        return self.context.now_seconds()

    def age_seconds(self) -> float:
        return self.now_seconds() - self.replicas.by_prefix[PREFIX].confirmed_at_seconds


def run_scenario(scenario: Callable[..., Awaitable[None]], count: int = 2) -> None:
    """Run a scenario with daemons that are members of one fleet."""

    async def run_daemons() -> None:
        daemons = [Daemon(name) for name in "abcd"[:count]]
        entries = [await daemon.start() for daemon in daemons]
        for daemon in daemons:
            daemon.context.daemon.membership.update_from_complete_list(entries, 0.0)
        try:
            await scenario(*daemons)
        finally:
            for daemon in daemons:
                await daemon.stop()

    asyncio.run(run_daemons())


def test_a_follower_receives_the_changes_of_its_source():
    async def scenario(source, follower):
        source.put("p/x", 5)
        await follower.follower.poll_source("a", 1)
        assert follower.notified_keys == ["p/x"]
        poll_task = asyncio.create_task(follower.follower.poll_source("a", 1))
        await asyncio.sleep(0.05)
        source.put("p/y", 6)
        await poll_task
        assert follower.notified_keys == ["p/x", "p/y"]
        assert follower.replica_manager.followed == "a"

    run_scenario(scenario)


def test_the_age_of_a_confirmation_is_passed_on_and_never_decreases():
    # Otherwise followers would never detect that their source has lost the service.
    async def scenario(source, middle, last):
        source.put("p/x", 5, age_seconds=0.9)
        await middle.follower.poll_source("a", 1)
        assert middle.replica_manager.is_complete
        assert middle.age_seconds() >= 0.9
        await last.follower.poll_source("b", 2)
        assert last.age_seconds() >= 0.9
        assert last.notified_keys == ["p/x"]

    run_scenario(scenario, 3)


def test_the_age_of_a_confirmation_includes_time_in_transit():
    async def scenario(source, follower):
        source.put("p/x", 5)
        follower.context.daemon.links = SlowLinks("")
        await follower.follower.poll_source("a", 1)
        assert follower.age_seconds() >= 0.2

    run_scenario(scenario)


def test_daemons_that_follow_each_other_in_a_cycle_stop_following():
    async def scenario(one, other):
        one.put("p/x", 5, age_seconds=max_age_seconds(1) - 0.3)
        await other.follower.poll_source("a", 1)
        assert other.replica_manager.followed == "a"
        for _ in range(3):
            await one.follower.poll_source("b", 1)
            await other.follower.poll_source("a", 1)
        assert not one.replica_manager.followed
        assert not other.replica_manager.followed

    run_scenario(scenario)


def test_a_source_and_its_follower_exchange_engine_paces():
    async def scenario(source, follower):
        source.put("p/x", 5)
        now_seconds = follower.now_seconds()
        source.paces.record_interval("e1", 0.12, now_seconds)
        follower.paces.record_interval("e2", 0.13, now_seconds)
        await follower.follower.poll_source("a", 1)
        assert follower.paces.get("e1", now_seconds) == 0.12
        assert source.paces.get("e2", now_seconds) == 0.13

    run_scenario(scenario)


def test_a_source_with_a_stale_replica_is_not_followed():
    async def scenario(source, follower):
        source.put("p/x", 5, age_seconds=10.0)
        await follower.follower.poll_source("a", 1)
        assert not follower.replica_manager.followed

    run_scenario(scenario)


def test_a_starting_source_does_not_count_as_failed():
    async def scenario(source, follower):
        await follower.follower.poll_source("a", 1)
        assert not follower.replica_manager.followed
        assert not follower.follower.selector._failed
        source.put("p/x", 5)
        await follower.follower.poll_source("a", 1)
        assert follower.replica_manager.followed == "a"

    run_scenario(scenario)


def test_a_waiting_follower_receives_each_round_of_confirmations():
    async def scenario(source, follower):
        source.put("p/x", 5)
        await follower.follower.poll_source("a", 1)
        poll_task = asyncio.create_task(follower.follower.poll_source("a", 1))
        await asyncio.sleep(0.1)
        before_seconds = follower.age_seconds()
        # The service confirms again that nothing has changed.
        source.replicas._round_confirmed_at_seconds -= 1.0
        source.replicas.confirm(PREFIX, source.now_seconds())
        await poll_task
        assert follower.age_seconds() < before_seconds

    run_scenario(scenario)


@pytest.mark.parametrize("root_dies", [False, True])
def test_a_fleet_converges_on_one_root(root_dies):
    async def scenario(*daemons):
        kv = KvStore()
        for daemon in daemons:
            daemon.context.daemon.kv = WatchedKv(kv, daemon.context.rng, KvFaults())
        tasks = [asyncio.create_task(daemon.replica_manager.run()) for daemon in daemons]
        async with asyncio.timeout(8.0):
            await wait_until_settled(daemons)
            if root_dies:
                root = next(n for n, d in enumerate(daemons) if not d.replica_manager.followed)
                tasks[root].cancel()
                await daemons[root].stop()
                remaining = [daemon for daemon in daemons if daemon is not daemons[root]]
                await wait_until_settled(remaining, excluding=daemons[root].context.daemon_name)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_until_settled(daemons, excluding: str = "") -> None:
        """Wait until one daemon is the root, and the others follow live daemons."""
        while True:
            followed = [daemon.replica_manager.followed for daemon in daemons]
            all_complete = all(daemon.replica_manager.is_complete for daemon in daemons)
            if all_complete and followed.count("") == 1 and excluding not in set(followed) - {""}:
                return
            await asyncio.sleep(0.02)

    run_scenario(scenario, 4)


def test_a_daemon_with_a_narrow_link_is_not_the_root():
    async def scenario(source, follower):
        follower.context.member_entries["a"] = make_member(processor_share=2.0, link_mbps=30.0)
        own = follower.context.daemon_name
        follower.context.settings = replace(follower.context.settings, link_mbps=200.0)
        # Without regions and cold rates the processor share alone counts, as before.
        assert follower.follower._current_tree().root == "a"
        state_cold_rate(follower.context)
        assert follower.follower._current_tree().root == own

    run_scenario(scenario)


def test_a_daemon_with_a_larger_processor_share_becomes_the_root():
    async def scenario(source, follower):
        entries = follower.context.member_entries
        entries["a"] = make_member(processor_share=0.5)
        assert follower.follower._current_tree().root == "a"
        members = follower.context.daemon.membership
        entry = VmEntry("e", "127.0.0.1", 1, "z", False)
        entries["e"] = make_member(processor_share=0.9)
        members.update_from_complete_list([entry], 0.0)
        assert follower.follower._current_tree().root == "e"

    run_scenario(scenario)


PAUSE_SECONDS = 0.1


@pytest.mark.parametrize(("daemon_count", "is_unreachable"), [(2, False), (3, True)])
def test_a_pause_of_the_source_does_not_hide_that_the_service_is_reachable_again(
    monkeypatch, daemon_count, is_unreachable
):
    # Guards against counting the source's pause as the age of its confirmation. Of three daemons
    # the source is not the root, so it may pass on changes that are older than the failure.
    original_serve = ReplicaServer.serve

    async def pause_and_serve(server, request):
        await asyncio.sleep(PAUSE_SECONDS)
        return await original_serve(server, request)

    async def scenario(source, follower, *others):
        source.put("p/x", 5)
        follower.context.store_reachability.record_failure(follower.now_seconds(), "no answer")
        await follower.follower.poll_source("a", 1)
        assert follower.context.store_reachability.is_unreachable
        source.put("p/y", 6)
        monkeypatch.setattr(ReplicaServer, "serve", pause_and_serve)
        await follower.follower.poll_source("a", 1)
        assert follower.context.store_reachability.is_unreachable is is_unreachable

    run_scenario(scenario, daemon_count)


def test_a_follower_learns_from_its_source_that_the_service_is_reachable_again():
    async def scenario(source, follower):
        source.put("p/x", 5)
        follower.context.store_reachability.record_failure(follower.now_seconds(), "no answer")
        await follower.follower.poll_source("a", 1)
        # The source's last confirmation is older than the failure.
        assert follower.context.store_reachability.is_unreachable
        source.put("p/y", 6)
        await follower.follower.poll_source("a", 1)
        assert not follower.context.store_reachability.is_unreachable

    run_scenario(scenario)
