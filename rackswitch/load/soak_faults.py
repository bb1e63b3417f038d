"""What goes wrong in a soak; each fault ends by itself and leaves all as it found it."""

import asyncio
from collections.abc import Awaitable, Callable

from rackswitch.load.daemon_process import DaemonProcess
from rackswitch.load.link import BACKWARD, BOTH, FORWARD, LinkFaults
from rackswitch.load.soak_site import SoakSite, SoakTarget
from rackswitch.registry import Registry

__all__ = ["SOAK_FAULTS", "SoakFault"]

SoakFault = Callable[[SoakSite], Awaitable[None]]
SOAK_FAULTS: Registry[SoakFault] = Registry("fault of a soak")

MAX_DELAY_SECONDS = 0.4
MAX_LOST_ANSWERS = 8


async def _replace(site: SoakSite, daemon: DaemonProcess, planned: bool) -> None:
    """End a daemon's process and start the next one; one after the other where faults overlap."""
    async with daemon.change:
        await (daemon.stop() if planned else daemon.kill())
        await asyncio.sleep(site.rng.uniform(0.0, 0.5))
        await daemon.start()


@SOAK_FAULTS.register("daemons-paused")
async def _daemons_paused(site: SoakSite) -> None:
    paused = site.some_daemons()
    await asyncio.gather(*(daemon.pause(site.some_life_seconds()) for daemon in paused))


@SOAK_FAULTS.register("daemon-stopped")
async def _daemon_stopped(site: SoakSite) -> None:
    await _replace(site, site.rng.choice(site.daemons), planned=True)


@SOAK_FAULTS.register("daemon-killed")
async def _daemon_killed(site: SoakSite) -> None:
    await _replace(site, site.rng.choice(site.daemons), planned=False)


@SOAK_FAULTS.register("all-daemons-killed")
async def _all_daemons_killed(site: SoakSite) -> None:
    await asyncio.gather(*(_replace(site, daemon, planned=False) for daemon in site.daemons))


@SOAK_FAULTS.register("daemons-rolled")
async def _daemons_rolled(site: SoakSite) -> None:
    for daemon in site.rng.sample(site.daemons, len(site.daemons)):
        if not site.is_ending:
            await _replace(site, daemon, planned=True)


@SOAK_FAULTS.register("rolled-in-an-outage")
async def _rolled_in_an_outage(site: SoakSite) -> None:
    await asyncio.gather(_store_silent(site), _daemons_rolled(site))


@SOAK_FAULTS.register("settings-read-again")
async def _settings_read_again(site: SoakSite) -> None:
    for daemon in site.some_daemons():
        # What is just being started may not run a line of its own yet.
        if not daemon.change.locked():
            daemon.read_settings_again()


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
async def _store_away_for_some(site: SoakSite) -> None:
    await site.fault_links([daemon.link for daemon in site.some_daemons()], LinkFaults(BOTH))


@SOAK_FAULTS.register("store-cut-one-way")
async def _store_cut_one_way(site: SoakSite) -> None:
    way = frozenset({site.rng.choice((FORWARD, BACKWARD))})
    await site.fault_links([daemon.link for daemon in site.some_daemons()], LinkFaults(way))


@SOAK_FAULTS.register("store-resets")
async def _store_resets(site: SoakSite) -> None:
    await asyncio.gather(*(daemon.link.reset() for daemon in site.some_daemons()))


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


async def _die(site: SoakSite, targets: list[SoakTarget]) -> None:
    after_seconds = site.some_life_seconds()
    keeps_identity = site.rng.random() < 0.5
    await asyncio.gather(
        *(target.die_and_come_back(after_seconds, keeps_identity) for target in targets)
    )


@SOAK_FAULTS.register("target-killed")
async def _target_killed(site: SoakSite) -> None:
    await _die(site, [site.rng.choice(site.targets)])


@SOAK_FAULTS.register("service-gone-and-back")
async def _service_gone_and_back(site: SoakSite) -> None:
    await _die(site, site.rng.choice((site.engines, site.services)))


@SOAK_FAULTS.register("target-slow")
async def _target_slow(site: SoakSite) -> None:
    slow = LinkFaults(delay_seconds=site.rng.uniform(0.02, MAX_DELAY_SECONDS))
    await site.fault_links([site.rng.choice(site.targets).link], slow)


@SOAK_FAULTS.register("target-silent")
async def _target_silent(site: SoakSite) -> None:
    await site.fault_links([site.rng.choice(site.targets).link], LinkFaults(BOTH))


@SOAK_FAULTS.register("target-cut-one-way")
async def _target_cut_one_way(site: SoakSite) -> None:
    way = frozenset({site.rng.choice((FORWARD, BACKWARD))})
    await site.fault_links([site.rng.choice(site.targets).link], LinkFaults(way))


@SOAK_FAULTS.register("target-resets")
async def _target_resets(site: SoakSite) -> None:
    await asyncio.gather(*(target.link.reset() for target in site.targets))


@SOAK_FAULTS.register("target-refuses")
async def _target_refuses(site: SoakSite) -> None:
    await site.fault_stand_in(site.rng.choice(site.targets).stand_in.faults, refuse=True)


@SOAK_FAULTS.register("load-words-lie")
async def _load_words_lie(site: SoakSite) -> None:
    words = (site.rng.randint(0, 4), site.rng.randint(0, 500))
    await site.fault_stand_in(site.rng.choice(site.engines).stand_in.faults, load_words=words)


@SOAK_FAULTS.register("burst")
async def _burst(site: SoakSite) -> None:
    site.burst.set()


@SOAK_FAULTS.register("table-edited")
async def _table_edited(site: SoakSite) -> None:
    site.edit_table()


@SOAK_FAULTS.register("version-named")
async def _version_named(site: SoakSite) -> None:
    site.name_version()
