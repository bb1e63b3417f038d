"""Keeping a copy of all keys under a prefix of the key-value service."""

import asyncio
from collections.abc import Callable

from rackswitch.clients.kv import KvEntry, KvUnavailable
from rackswitch.gateway.context import GatewayContext

__all__ = ["PrefixWatcher"]

RETRY_SECONDS = 0.1
"""Pause after a broken watch; a change must be in force within 2 s, most of which a silent
watch may have used up already."""


class PrefixWatcher:
    """Reads a prefix and follows its changes.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    prefix : str
        The prefix.
    on_listed : callable
        Takes the whole of what is there, at the start and when history was lost.
    on_put, on_deleted : callable
        Take single changes.
    """

    __slots__ = ("_context", "_on_deleted", "_on_listed", "_on_put", "_prefix", "is_listed")

    def __init__(
        self,
        context: GatewayContext,
        prefix: str,
        on_listed: Callable[[tuple[KvEntry, ...]], None],
        on_put: Callable[[KvEntry], None],
        on_deleted: Callable[[str], None],
    ):
        self._context = context
        self._prefix = prefix
        self._on_listed = on_listed
        self._on_put = on_put
        self._on_deleted = on_deleted
        self.is_listed = False

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        revision: int | None = None
        while True:
            if revision is None:
                revision = await self._list()
            if revision is not None:
                revision = await self._follow(revision)
            await asyncio.sleep(RETRY_SECONDS * (0.5 + self._context.rng.random()))

    async def _list(self) -> int | None:
        read = await self._context.kv.read(self._prefix, is_prefix=True)
        now_seconds = self._context.now_seconds()
        if isinstance(read, KvUnavailable):
            self._context.contact.failed(now_seconds, read.detail)
            return None
        self._context.contact.answered(now_seconds)
        self._on_listed(read.entries)
        self.is_listed = True
        return read.revision

    async def _follow(self, revision: int) -> int | None:
        """Follow changes until the watch breaks; return where to go on, None to list anew."""
        async for news in self._context.kv.watch(self._prefix, revision):
            now_seconds = self._context.now_seconds()
            if isinstance(news, KvUnavailable):
                if news.history_lost:
                    return None
                self._context.contact.failed(now_seconds, f"watch: {news.detail}")
                return revision
            self._context.contact.answered(now_seconds)
            for entry in news.entries:
                self._on_put(entry)
            for key in news.deleted:
                self._on_deleted(key)
            revision = news.revision
        return revision
