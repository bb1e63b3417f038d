"""The targets that the table names, as this daemon knows them."""

import asyncio
import hashlib
from collections.abc import Callable

from rackswitch.clients.engine import ENGINE_CLIENTS, EngineClient, EngineInfo
from rackswitch.daemon.context import DaemonContext
from rackswitch.leases import rank_candidates
from rackswitch.routing import LoadReport, Target
from rackswitch.table import RouteChoice, TargetRow

__all__ = ["TargetKeeper"]

PREFIX_CHUNK_CHARACTERS = 64
MAX_PREFIX_CHUNKS = 64
SAME_ZONE_SECONDS = 0.0002


class TargetKeeper:
    """Keeps a `Target` for each row, polls the engines and answers which may be used.

    Parameters
    ----------
    context : DaemonContext
        The daemon.
    leaving : callable
        Returns the names of targets whose VM is leaving.
    """

    __slots__ = ("_clients", "_context", "_leaving", "_round", "polls", "targets")

    def __init__(self, context: DaemonContext, leaving: Callable[[], set[str]]):
        self._context = context
        self._leaving = leaving
        self._clients: dict[str, EngineClient] = {
            name: ENGINE_CLIENTS.get(name)(context.sessions) for name in ENGINE_CLIENTS.names()
        }
        self.targets: dict[str, Target] = {}
        self.polls = 0
        self._round: list[TargetRow] = []

    def client(self, protocol: str) -> EngineClient:
        """Return the client for an engine protocol."""
        return self._clients[protocol]

    async def run(self) -> None:
        """Poll one of this daemon's engines after the other, at a bounded rate.

        So the cost does not grow with the number of engines; what the daemon's own
        requests show of an engine fills the time between.
        """
        while True:
            jitter = 0.9 + 0.2 * self._context.rng.random()
            await asyncio.sleep(self._context.settings.poll_seconds * jitter)
            if not self._round:
                self._round = self._polled_rows()
            if self._round:
                await self._poll_one(self._round.pop())

    async def poll(self) -> None:
        """Read the state of all of this daemon's engines, as at its start."""
        await asyncio.gather(*(self._poll_one(row) for row in self._polled_rows()))

    def _polled_rows(self) -> list[TargetRow]:
        rows = [row for row in self._context.view.rows(TargetRow) if row.protocol == "openai"]
        chosen: list[TargetRow] = []
        for model in sorted({row.serves for row in rows}):
            chosen.extend(self._subset([row for row in rows if row.serves == model]))
        return chosen

    def usable(self, serves: str) -> list[tuple[TargetRow, Target]]:
        """Return the targets of a model or service that may get new work from here."""
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
        """Return the part of a large set that this daemon uses and polls."""
        most = self._context.settings.polled_targets
        if len(rows) <= most:
            return rows
        by_name = {row.name: row for row in rows}
        ranked = rank_candidates(self._context.settings.daemon, list(by_name))
        return [by_name[name] for name in ranked[:most]]

    def _target(self, row: TargetRow) -> Target:
        target = self.targets.get(row.name)
        if target is None or target.url != row.url:
            same_zone = row.zone == self._context.settings.zone
            far_seconds = self._context.settings.zone_one_way_seconds
            one_way_seconds = SAME_ZONE_SECONDS if same_zone else far_seconds
            target = Target(row.name, row.url, row.zone, one_way_seconds)
            self.targets[row.name] = target
        return target

    async def _poll_one(self, row: TargetRow) -> None:
        self.polls += 1
        target = self._target(row)
        info = await self.client(row.protocol).info(row.url)
        now_seconds = self._context.now_seconds()
        if isinstance(info, EngineInfo):
            target.take_report(
                LoadReport(info.queued_tokens, info.version, info.loading, now_seconds)
            )
        else:
            target.failed(now_seconds)


def version_allowed(choice: RouteChoice, version: int | None) -> bool:
    """Return whether a route choice lets this version serve."""
    if version is None:
        return choice.oldest_version == 0 and choice.newest_version is None
    if version < choice.oldest_version:
        return False
    return choice.newest_version is None or version <= choice.newest_version


def prompt_prefixes(prompt: str) -> tuple[int, ...]:
    """Return one number for each whole chunk's prefix of a prompt, as far as it matters."""
    digest = hashlib.blake2b(digest_size=8)
    numbers: list[int] = []
    for start in range(0, len(prompt) - PREFIX_CHUNK_CHARACTERS + 1, PREFIX_CHUNK_CHARACTERS):
        if len(numbers) == MAX_PREFIX_CHUNKS:
            break
        digest.update(prompt[start : start + PREFIX_CHUNK_CHARACTERS].encode())
        numbers.append(int.from_bytes(digest.digest(), "big"))
    return tuple(numbers)
