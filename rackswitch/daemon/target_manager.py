"""The targets of the table and their state as known to this daemon."""

import asyncio
import hashlib
from collections.abc import Callable

from rackswitch.clients.engine import ENGINE_CLIENTS, EngineClient, EngineInfo
from rackswitch.daemon.context import DaemonContext
from rackswitch.leases import rank_candidates
from rackswitch.routing import LoadReport, Target
from rackswitch.table import RouteChoice, TargetRow

__all__ = ["TargetManager"]

PREFIX_CHUNK_CHARACTERS = 64
MAX_PREFIX_CHUNKS = 64
SAME_ZONE_ONE_WAY_SECONDS = 0.0002


class TargetManager:
    """Stores a `Target` for each row, polls the engines and selects usable targets.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    leaving : callable
        Returns the names of targets whose VM is leaving.
    """

    __slots__ = ("_clients", "_context", "_leaving", "_poll_queue", "polls", "targets")

    def __init__(self, context: DaemonContext, leaving: Callable[[], set[str]]):
        self._context = context
        self._leaving = leaving
        self._clients: dict[str, EngineClient] = {
            name: ENGINE_CLIENTS.get(name)(context.sessions) for name in ENGINE_CLIENTS.names()
        }
        self.targets: dict[str, Target] = {}
        self.polls = 0
        self._poll_queue: list[TargetRow] = []

    def client(self, protocol: str) -> EngineClient:
        """Return the client for an engine protocol."""
        return self._clients[protocol]

    async def run(self) -> None:
        """Poll this daemon's engines one after another, at a bounded rate.

        The cost does not grow with the number of engines; between polls, the daemon's own
        requests update an engine's state.
        """
        while True:
            jitter = 0.9 + 0.2 * self._context.rng.random()
            await asyncio.sleep(self._context.settings.poll_seconds * jitter)
            if not self._poll_queue:
                self._poll_queue = self._polled_rows()
            if self._poll_queue:
                await self._poll_row(self._poll_queue.pop())

    async def poll(self) -> None:
        """Read the state of all of this daemon's engines at once."""
        await asyncio.gather(*(self._poll_row(row) for row in self._polled_rows()))

    def _polled_rows(self) -> list[TargetRow]:
        rows = [row for row in self._context.view.rows(TargetRow) if row.protocol == "openai"]
        chosen: list[TargetRow] = []
        for model in sorted({row.serves for row in rows}):
            chosen.extend(self._subset([row for row in rows if row.serves == model]))
        return chosen

    def usable(self, serves: str) -> list[tuple[TargetRow, Target]]:
        """Return the targets of a model or service to which this daemon may send new work."""
        leaving = self._leaving()
        rows = [row for row in self._context.view.targets(serves) if row.name not in leaving]
        return [(row, self._target(row)) for row in self._subset(rows)]

    def allowed(self, choice: RouteChoice) -> list[tuple[TargetRow, Target]]:
        """Return the usable targets whose last known version a route choice allows."""
        return [
            (row, target)
            for row, target in self.usable(choice.serves)
            if row.protocol != "openai" or version_allowed(choice, target.version)
        ]

    def _subset(self, rows: list[TargetRow]) -> list[TargetRow]:
        """Return the subset of a large set of rows that this daemon uses and polls."""
        max_targets = self._context.settings.polled_targets
        if len(rows) <= max_targets:
            return rows
        by_name = {row.name: row for row in rows}
        ranked = rank_candidates(self._context.settings.daemon, list(by_name))
        return [by_name[name] for name in ranked[:max_targets]]

    def _target(self, row: TargetRow) -> Target:
        target = self.targets.get(row.name)
        if target is None or target.url != row.url:
            same_zone = row.zone == self._context.settings.zone
            cross_zone_seconds = self._context.settings.zone_one_way_seconds
            one_way_seconds = SAME_ZONE_ONE_WAY_SECONDS if same_zone else cross_zone_seconds
            target = Target(row.name, row.url, row.zone, one_way_seconds)
            self.targets[row.name] = target
        return target

    async def _poll_row(self, row: TargetRow) -> None:
        self.polls += 1
        target = self._target(row)
        info = await self.client(row.protocol).info(row.url)
        now_seconds = self._context.now_seconds()
        if isinstance(info, EngineInfo):
            target.record_report(
                LoadReport(info.queued_tokens, info.version, info.loading, now_seconds)
            )
        else:
            target.record_failure(now_seconds)


def version_allowed(choice: RouteChoice, version: int | None) -> bool:
    """Return whether a route choice allows this version."""
    if version is None:
        return choice.oldest_version == 0 and choice.newest_version is None
    if version < choice.oldest_version:
        return False
    return choice.newest_version is None or version <= choice.newest_version


def prompt_prefixes(prompt: str) -> tuple[int, ...]:
    """Return a hash of each prefix of a prompt that consists of complete chunks."""
    digest = hashlib.blake2b(digest_size=8)
    prefix_hashes: list[int] = []
    for start in range(0, len(prompt) - PREFIX_CHUNK_CHARACTERS + 1, PREFIX_CHUNK_CHARACTERS):
        if len(prefix_hashes) == MAX_PREFIX_CHUNKS:
            break
        digest.update(prompt[start : start + PREFIX_CHUNK_CHARACTERS].encode())
        prefix_hashes.append(int.from_bytes(digest.digest(), "big"))
    return tuple(prefix_hashes)
