"""Faults that a soak injects; each one ends by itself and restores the previous state."""

import asyncio
from collections.abc import Awaitable, Callable

from rackswitch.load.daemon_process import DaemonProcess
from rackswitch.load.link import BACKWARD, BOTH, FORWARD, LinkFaults
from rackswitch.load.soak_site import SoakSite, SoakTarget
from rackswitch.platform.names import SERVERS_PREFIX
from rackswitch.registry import Registry

__all__ = ["SOAK_FAULTS", "SoakFault"]

SoakFault = Callable[[SoakSite], Awaitable[None]]
SOAK_FAULTS: Registry[SoakFault] = Registry("fault of a soak")

MAX_DELAY_SECONDS = 0.4
MAX_LOST_ANSWERS = 8
MAX_CRASHES = 8
CRASH_INTERVAL_SECONDS = (0.1, 0.4)
"""Minimum and maximum interval between two crashes of a burst."""

CRASH_SECONDS = 0.4
"""How long an engine is down in a burst; others crash meanwhile."""

ODD_ENTRIES = (
    b'{"service":"engines","other":' + b"[" * 1500 + b"]" * 1500 + b"}",
    b'{"service":"engines","slots":1e400}',
    b'{"service":"engines","address":"127.0.0.1:99999","zone":"z","slots":4,"state":"ready"}',
    b"\xff",
)
"""Entries of another writer in the list of targets."""

ENDLESS_BYTES = (b": keep\n\n", b"x" * 4096)
"""What a target repeats: comments of a stream, and a line without an end."""


async def _replace_daemon(site: SoakSite, daemon: DaemonProcess, planned: bool) -> None:
    """Stop or kill a daemon and start it again; overlapping calls run one after the other."""
    async with daemon.lifecycle_lock:
        await (daemon.stop() if planned else daemon.kill())
        await asyncio.sleep(site.rng.uniform(0.0, 0.5))
        await daemon.start()


@SOAK_FAULTS.register("daemons-paused")
async def _daemons_paused(site: SoakSite) -> None:
    paused = site.draw_daemons()
    await asyncio.gather(*(daemon.pause(site.draw_fault_seconds()) for daemon in paused))


@SOAK_FAULTS.register("daemon-stopped")
async def _daemon_stopped(site: SoakSite) -> None:
    await _replace_daemon(site, site.rng.choice(site.daemons), planned=True)


@SOAK_FAULTS.register("daemon-killed")
async def _daemon_killed(site: SoakSite) -> None:
    await _replace_daemon(site, site.rng.choice(site.daemons), planned=False)


@SOAK_FAULTS.register("all-daemons-killed")
async def _all_daemons_killed(site: SoakSite) -> None:
    await asyncio.gather(*(_replace_daemon(site, daemon, planned=False) for daemon in site.daemons))


@SOAK_FAULTS.register("all-killed-after-an-edit")
async def _all_daemons_killed_after_an_edit(site: SoakSite) -> None:
    """Kill all daemons once jobs of a new route are accepted; their first reads lack the route."""
    if site.store.faults.stale_state is not None:
        # Another one is in progress, and its stale reads must not include its route.
        return
    site.store.keep_stale_reads()
    site.edit_table()
    await asyncio.sleep(site.rng.uniform(0.5, 1.5))
    try:
        await _all_daemons_killed(site)
        await asyncio.sleep(site.draw_fault_seconds())
    finally:
        site.store.faults.stale_state = None


@SOAK_FAULTS.register("daemons-rolled")
async def _rolling_restart(site: SoakSite) -> None:
    for daemon in site.rng.sample(site.daemons, len(site.daemons)):
        if not site.is_stopping:
            await _replace_daemon(site, daemon, planned=True)


@SOAK_FAULTS.register("rolled-in-an-outage")
async def _rolling_restart_in_outage(site: SoakSite) -> None:
    await asyncio.gather(_store_silent(site), _rolling_restart(site))


@SOAK_FAULTS.register("settings-read-again")
async def _settings_reloaded(site: SoakSite) -> None:
    for daemon in site.draw_daemons():
        # SIGHUP would end a starting process that has no signal handler yet.
        if not daemon.lifecycle_lock.locked():
            daemon.reload_settings()


@SOAK_FAULTS.register("store-silent")
async def _store_silent(site: SoakSite) -> None:
    await site.fault_stand_in(site.store.faults, down="silent")


@SOAK_FAULTS.register("store-busy")
async def _store_busy(site: SoakSite) -> None:
    await site.fault_stand_in(site.store.faults, down="busy")


@SOAK_FAULTS.register("store-slow")
async def _store_slow(site: SoakSite) -> None:
    slow = LinkFaults(delay_seconds=site.rng.uniform(0.05, MAX_DELAY_SECONDS))
    await site.fault_links([daemon.link for daemon in site.daemons], slow)


@SOAK_FAULTS.register("store-away-for-some")
async def _store_unreachable_for_some(site: SoakSite) -> None:
    await site.fault_links([daemon.link for daemon in site.draw_daemons()], LinkFaults(BOTH))


@SOAK_FAULTS.register("store-cut-one-way")
async def _store_cut_one_way(site: SoakSite) -> None:
    direction = frozenset({site.rng.choice((FORWARD, BACKWARD))})
    await site.fault_links([daemon.link for daemon in site.draw_daemons()], LinkFaults(direction))


@SOAK_FAULTS.register("store-resets")
async def _store_resets(site: SoakSite) -> None:
    await asyncio.gather(*(daemon.link.reset() for daemon in site.draw_daemons()))


@SOAK_FAULTS.register("store-connections-silent")
async def _store_connections_silent(site: SoakSite) -> None:
    for daemon in site.draw_daemons():
        daemon.link.silence_open_connections()


@SOAK_FAULTS.register("store-loses-answers")
async def _store_loses_answers(site: SoakSite) -> None:
    count = site.rng.randint(1, MAX_LOST_ANSWERS)
    await site.fault_stand_in(site.store.faults, lost_answers=count)


@SOAK_FAULTS.register("store-forgets-history")
async def _store_forgets_history(site: SoakSite) -> None:
    site.store.forget_history()


@SOAK_FAULTS.register("leases-revoked")
async def _leases_revoked(site: SoakSite) -> None:
    for lease_id in list(site.store.store.leases):
        if site.rng.random() < 0.5:
            site.store.end_lease(lease_id)


async def _crash_targets(site: SoakSite, targets: list[SoakTarget]) -> None:
    restart_delay_seconds = site.draw_fault_seconds()
    keeps_identity = site.rng.random() < 0.5
    await asyncio.gather(
        *(target.crash_and_restart(restart_delay_seconds, keeps_identity) for target in targets)
    )


@SOAK_FAULTS.register("target-killed")
async def _target_killed(site: SoakSite) -> None:
    await _crash_targets(site, [site.rng.choice(site.targets)])


@SOAK_FAULTS.register("service-gone-and-back")
async def _service_crashes_and_restarts(site: SoakSite) -> None:
    await _crash_targets(site, site.rng.choice((site.engines, site.services)))


@SOAK_FAULTS.register("targets-crash-in-a-burst")
async def _engines_crash_in_a_burst(site: SoakSite) -> None:
    """Crash engines one after the other under the items that they run."""
    crashes = []
    for _ in range(site.rng.randint(3, MAX_CRASHES)):
        engine = site.rng.choice(site.engines)
        crashes.append(asyncio.create_task(engine.crash_and_restart(CRASH_SECONDS, False)))
        await asyncio.sleep(site.rng.uniform(*CRASH_INTERVAL_SECONDS))
    await asyncio.gather(*crashes)


@SOAK_FAULTS.register("target-list-has-odd-entries")
async def _odd_entries_listed(site: SoakSite) -> None:
    keys = [f"{SERVERS_PREFIX}odd-{number}" for number in range(len(ODD_ENTRIES))]
    for key, value in zip(keys, ODD_ENTRIES, strict=True):
        site.store.put_bytes(key, value)
    await asyncio.sleep(site.draw_fault_seconds())
    for key in keys:
        site.store.delete(key)


@SOAK_FAULTS.register("target-endless")
async def _target_endless(site: SoakSite) -> None:
    endless = site.rng.choice(ENDLESS_BYTES)
    await site.fault_stand_in(site.rng.choice(site.targets).stand_in.faults, endless=endless)


@SOAK_FAULTS.register("target-slow")
async def _target_slow(site: SoakSite) -> None:
    slow = LinkFaults(delay_seconds=site.rng.uniform(0.02, MAX_DELAY_SECONDS))
    await site.fault_links([site.rng.choice(site.targets).link], slow)


@SOAK_FAULTS.register("target-silent")
async def _target_silent(site: SoakSite) -> None:
    await site.fault_links([site.rng.choice(site.targets).link], LinkFaults(BOTH))


@SOAK_FAULTS.register("target-cut-one-way")
async def _target_cut_one_way(site: SoakSite) -> None:
    direction = frozenset({site.rng.choice((FORWARD, BACKWARD))})
    await site.fault_links([site.rng.choice(site.targets).link], LinkFaults(direction))


@SOAK_FAULTS.register("target-connections-silent")
async def _target_connections_silent(site: SoakSite) -> None:
    site.rng.choice(site.targets).link.silence_open_connections()


@SOAK_FAULTS.register("target-resets")
async def _target_resets(site: SoakSite) -> None:
    await asyncio.gather(*(target.link.reset() for target in site.targets))


@SOAK_FAULTS.register("target-refuses")
async def _target_refuses(site: SoakSite) -> None:
    await site.fault_stand_in(site.rng.choice(site.targets).stand_in.faults, refuse=True)


@SOAK_FAULTS.register("load-words-lie")
async def _load_reports_wrong(site: SoakSite) -> None:
    load_report = (site.rng.randint(0, 4), site.rng.randint(0, 500))
    await site.fault_stand_in(site.rng.choice(site.engines).stand_in.faults, load_words=load_report)


@SOAK_FAULTS.register("burst")
async def _burst(site: SoakSite) -> None:
    site.burst.set()


@SOAK_FAULTS.register("table-edited")
async def _table_edited(site: SoakSite) -> None:
    site.edit_table()


@SOAK_FAULTS.register("version-named")
async def _version_published(site: SoakSite) -> None:
    site.publish_version()
