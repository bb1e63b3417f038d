"""Keeps the table in force current, and writes accepted edits."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from rackswitch.clients.kv import Compare, KvRead, KvUnavailable, Operation, TxnPart, WatchNews
from rackswitch.daemon.context import DaemonContext
from rackswitch.membership import MemberUpdate
from rackswitch.peers import peers_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.table import (
    REMEMBERED_EDITS,
    Edit,
    EditAccepted,
    EditConflict,
    EditDone,
    EditInvalid,
    TableDelta,
    TableDocument,
    apply_delta,
    apply_edit,
    choose_watchers,
)
from rackswitch.telemetry import events

__all__ = ["EditResult", "EditUnavailable", "EditUnknown", "TableKeeper"]

TABLE_KEY = "table"
EDIT_TIMEOUT_SECONDS = 4.0
EDIT_RETRY_SECONDS = 0.1
PEER_TIMEOUT_SECONDS = 1.0
WATCH_RETRY_SECONDS = 0.5
TICK_SECONDS = 0.2


class EditUnknown(msgspec.Struct, frozen=True):
    """The edit may have been accepted; asking again with the same identity tells."""


class EditUnavailable(msgspec.Struct, frozen=True):
    """The edit was not accepted, since the service did not answer."""


EditResult = EditDone | EditConflict | EditInvalid | EditUnknown | EditUnavailable


class TableKeeper:
    """The daemon's side of the table.

    Parameters
    ----------
    context : DaemonContext
        The daemon.
    announce : callable
        Tells some peers at once that the table has changed.
    """

    __slots__ = (
        "_announce",
        "_boot_done",
        "_context",
        "_edit_lock",
        "_fetching",
        "_read_mod_revision",
        "_read_revision",
        "_watch_task",
        "changed",
    )

    def __init__(self, context: DaemonContext, announce: Callable[[], Awaitable[None]]):
        self._context = context
        self._announce = announce
        self._boot_done = False
        self._edit_lock = asyncio.Lock()
        self._fetching: set[str] = set()
        self._read_mod_revision = 0
        self._read_revision = 0
        self._watch_task: asyncio.Task[None] | None = None
        self.changed = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether a table is in force that no reachable source is known to exceed."""
        return self._boot_done and self._context.view.revision > 0

    async def boot(self) -> None:
        """Learn the newest table from the service and from every peer that answers."""
        peers = [member.update for member in self._context.membership.members.values()]
        read = self.read_service()
        answers = await asyncio.gather(read, *(self.fetch_from(peer) for peer in peers))
        # A daemon that heard from nobody cannot know that its table is the newest.
        self._boot_done = any(answers)

    async def run(self) -> None:
        """Watch and confirm while this daemon is one of the watchers."""
        next_confirm_seconds = 0.0
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self._boot_done:
                await self.boot()
                continue
            now_seconds = self._context.now_seconds()
            if self._is_watcher():
                if self._watch_task is None or self._watch_task.done():
                    self._watch_task = self._context.spawn(self._watch())
                if now_seconds >= next_confirm_seconds:
                    jitter = 0.9 + 0.2 * self._context.rng.random()
                    period_seconds = self._context.settings.confirm_seconds * jitter
                    next_confirm_seconds = now_seconds + period_seconds
                    await self.read_service()
            elif self._watch_task is not None:
                self._watch_task.cancel()
                self._watch_task = None

    def _is_watcher(self) -> bool:
        live = self._context.membership.live_zones()
        chosen = choose_watchers(live, self._context.settings.watchers_per_zone)
        return self._context.settings.daemon in chosen

    async def _watch(self) -> None:
        async for news in self._context.kv.watch(TABLE_KEY, 1):
            if not isinstance(news, WatchNews):
                await asyncio.sleep(WATCH_RETRY_SECONDS)
                return
            for entry in news.entries:
                await self._take(msgspec.json.decode(entry.value, type=TableDocument))

    async def read_service(self) -> bool:
        """Confirm the table with the service, or read it if it has changed.

        Returns
        -------
        bool
            Whether the service answered.
        """
        asked_at_seconds = self._context.now_seconds()
        bound_seconds = self._context.settings.freshness.bound_seconds
        until_seconds = asked_at_seconds + bound_seconds
        if await self._is_unchanged():
            self._context.view.confirm(self._read_revision, until_seconds)
            return True
        read = await self._context.kv.read(TABLE_KEY)
        if not isinstance(read, KvRead):
            return False
        document = _document_of(read)
        if read.entries:
            self._read_mod_revision = read.entries[0].mod_revision
            self._read_revision = document.revision
        await self._take(document)
        self._context.view.confirm(document.revision, until_seconds)
        return True

    async def _is_unchanged(self) -> bool:
        """Ask for the key's revision alone, which spares the value's way every time."""
        if self._read_mod_revision == 0:
            return False
        read = await self._context.kv.read(TABLE_KEY, keys_only=True)
        if not isinstance(read, KvRead) or not read.entries:
            return False
        return read.entries[0].mod_revision == self._read_mod_revision

    def confirmation_age_seconds(self) -> float:
        """Return how old the confirmation of the table in force is; may be infinite."""
        bound_seconds = self._context.settings.freshness.bound_seconds
        until_seconds = self._context.view.confirmed_until_seconds
        return bound_seconds - (until_seconds - self._context.now_seconds())

    async def heard(self, peer: MemberUpdate, revision: int, age_seconds: float) -> None:
        """Take in what a peer's heartbeat says about its table."""
        view = self._context.view
        if revision > view.revision:
            await self.fetch_from(peer)
        bound_seconds = self._context.settings.freshness.bound_seconds
        view.confirm(revision, self._context.now_seconds() + bound_seconds - age_seconds)

    async def fetch_from(self, peer: MemberUpdate) -> bool:
        """Fetch a peer's table if it is newer; return whether the peer has a table."""
        if peer.daemon in self._fetching:
            return False
        self._fetching.add(peer.daemon)
        try:
            request = pb.FetchTableRequest(above_revision=self._context.view.revision)
            reply = await self._context.links.call(
                peer, lambda stub: stub.FetchTable, request, PEER_TIMEOUT_SECONDS
            )
        finally:
            self._fetching.discard(peer.daemon)
        if isinstance(reply, PeerUnreachable):
            return False
        if reply.delta:
            delta = msgspec.json.decode(reply.delta, type=TableDelta)
            newer = apply_delta(self._context.view.document, delta, REMEMBERED_EDITS)
            # None: another peer's table came in meanwhile; the next heartbeat tells.
            if newer is not None:
                await self._take(newer)
        elif reply.document:
            await self._take(msgspec.json.decode(reply.document, type=TableDocument))
        return reply.revision > 0

    async def submit(
        self, edit: Edit, dry_run: bool = False, may_be_retry: bool = True
    ) -> EditResult:
        """Apply an edit to the table in the service, at most once.

        Parameters
        ----------
        edit : Edit
            The edit, with its identity.
        dry_run : bool
            Only check it.
        may_be_retry : bool
            Whether the same edit may have been sent before, to any daemon. An earlier try
            may still take effect, so without an answer nothing is certain.

        Each try is conditional on the revision that was read, so of two tries only one
        can take effect; and the edit's own identity in the table tells a later read
        whether an unanswered try did.

        Returns
        -------
        EditResult
            `EditUnknown` if a try went unanswered and could not be cleared up in time.
        """
        give_up_seconds = self._context.now_seconds() + EDIT_TIMEOUT_SECONDS
        unanswered = may_be_retry
        async with self._edit_lock:
            while self._context.now_seconds() < give_up_seconds:
                read = await self._context.kv.read(TABLE_KEY)
                if isinstance(read, KvUnavailable):
                    await asyncio.sleep(EDIT_RETRY_SECONDS)
                    continue
                outcome = apply_edit(_document_of(read), edit)
                if not isinstance(outcome, EditAccepted):
                    return outcome
                if dry_run:
                    return EditDone(outcome.document.revision)
                written = await self._write(read, outcome.document)
                if written is True:
                    self._log_edit(edit)
                    await self._take(outcome.document)
                    return EditDone(outcome.document.revision)
                unanswered = unanswered or written is None
        return EditUnknown() if unanswered else EditUnavailable()

    def _log_edit(self, edit: Edit) -> None:
        self._context.log.write(events.EditAccepted(edit=edit.edit_id, operator=edit.operator))

    async def _write(self, read: KvRead, document: TableDocument) -> bool | None:
        """Write the document; False if it was not written, None if that is not known."""
        mod_revision = read.entries[0].mod_revision if read.entries else 0
        part = TxnPart(
            compares=(Compare(TABLE_KEY, "mod", mod_revision),),
            operations=(Operation(TABLE_KEY, msgspec.json.encode(document)),),
        )
        done = await self._context.kv.txn([part])
        if isinstance(done, KvUnavailable):
            return None if done.effect_unknown else False
        return done[0].succeeded

    async def _take(self, document: TableDocument) -> None:
        before = self._context.view.revision
        if self._context.view.offer(document):
            self._context.log.write(
                events.TableInForce(revision=document.revision, revision_before=before)
            )
            self.changed.set()
            self.changed = asyncio.Event()
            await self._announce()


def _document_of(read: KvRead) -> TableDocument:
    if not read.entries:
        return TableDocument()
    return msgspec.json.decode(read.entries[0].value, type=TableDocument)
