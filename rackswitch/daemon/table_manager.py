"""Keep the local table current and apply edits."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from rackswitch.clients.kv import Compare, KvRead, KvUnavailable, Operation, TxnPart, WatchUpdate
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

__all__ = ["EditResult", "EditUnavailable", "EditUnknown", "TableManager"]

TABLE_KEY = "table"
EDIT_TIMEOUT_SECONDS = 4.0
EDIT_RETRY_DELAY_SECONDS = 0.1
PEER_TIMEOUT_SECONDS = 1.0
WATCH_RETRY_DELAY_SECONDS = 0.5
TICK_SECONDS = 0.2


class EditUnknown(msgspec.Struct, frozen=True):
    """The edit may have been accepted; a retry with the same edit ID finds out."""


class EditUnavailable(msgspec.Struct, frozen=True):
    """The edit was not accepted because the key-value service did not answer."""


EditResult = EditDone | EditConflict | EditInvalid | EditUnknown | EditUnavailable


class TableManager:
    """Maintains this daemon's copy of the table.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    announce : callable
        Notifies some peers at once that the table has changed.
    """

    __slots__ = (
        "_announce",
        "_is_booted",
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
        self._is_booted = False
        self._edit_lock = asyncio.Lock()
        self._fetching: set[str] = set()
        self._read_mod_revision = 0
        self._read_revision = 0
        self._watch_task: asyncio.Task[None] | None = None
        self.changed = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether the daemon has a table and has compared it with at least one source."""
        return self._is_booted and self._context.view.revision > 0

    async def boot(self) -> None:
        """Fetch the newest table from the service and from every peer that answers."""
        peers = [member.update for member in self._context.membership.members.values()]
        read = self.refresh_from_service()
        answers = await asyncio.gather(read, *(self.fetch_from(peer) for peer in peers))
        # Without any answer, the daemon cannot know whether its table is the newest.
        self._is_booted = any(answers)

    async def run(self) -> None:
        """Watch and confirm the table while this daemon is one of the watchers."""
        next_confirm_seconds = 0.0
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self._is_booted:
                await self.boot()
                continue
            now_seconds = self._context.now_seconds()
            if self._is_watcher():
                if self._watch_task is None or self._watch_task.done():
                    self._watch_task = self._context.spawn(self._watch())
                if now_seconds >= next_confirm_seconds:
                    jitter = 0.9 + 0.2 * self._context.rng.random()
                    interval_seconds = self._context.settings.confirm_seconds * jitter
                    next_confirm_seconds = now_seconds + interval_seconds
                    await self.refresh_from_service()
            elif self._watch_task is not None:
                self._watch_task.cancel()
                self._watch_task = None

    def _is_watcher(self) -> bool:
        live = self._context.membership.live_zones()
        chosen = choose_watchers(live, self._context.settings.watchers_per_zone)
        return self._context.settings.daemon in chosen

    async def _watch(self) -> None:
        async for update in self._context.kv.watch(TABLE_KEY, 1):
            if not isinstance(update, WatchUpdate):
                await asyncio.sleep(WATCH_RETRY_DELAY_SECONDS)
                return
            for entry in update.entries:
                await self._install(msgspec.json.decode(entry.value, type=TableDocument))

    async def refresh_from_service(self) -> bool:
        """Confirm the table with the service, or read it if it has changed.

        Returns
        -------
        bool
            Whether the service answered.
        """
        requested_at_seconds = self._context.now_seconds()
        bound_seconds = self._context.settings.freshness.bound_seconds
        valid_until_seconds = requested_at_seconds + bound_seconds
        if await self._is_unchanged():
            self._context.view.confirm(self._read_revision, valid_until_seconds)
            return True
        read = await self._context.kv.read(TABLE_KEY)
        if not isinstance(read, KvRead):
            return False
        document = _decode_document(read)
        if read.entries:
            self._read_mod_revision = read.entries[0].mod_revision
            self._read_revision = document.revision
        await self._install(document)
        self._context.view.confirm(document.revision, valid_until_seconds)
        return True

    async def _is_unchanged(self) -> bool:
        """Compare the key's revision alone, without transferring the value."""
        if self._read_mod_revision == 0:
            return False
        read = await self._context.kv.read(TABLE_KEY, keys_only=True)
        if not isinstance(read, KvRead) or not read.entries:
            return False
        return read.entries[0].mod_revision == self._read_mod_revision

    def confirmation_age_seconds(self) -> float:
        """Return the age of the current table's confirmation; may be infinite."""
        bound_seconds = self._context.settings.freshness.bound_seconds
        valid_until_seconds = self._context.view.confirmed_until_seconds
        return bound_seconds - (valid_until_seconds - self._context.now_seconds())

    async def record_peer_revision(
        self, peer: MemberUpdate, revision: int, age_seconds: float
    ) -> None:
        """Record the table revision in a peer's heartbeat; fetch the table if it is newer."""
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
            # None if another table was installed meanwhile; the next heartbeat checks again.
            if newer is not None:
                await self._install(newer)
        elif reply.document:
            await self._install(msgspec.json.decode(reply.document, type=TableDocument))
        return reply.revision > 0

    async def submit(
        self, edit: Edit, dry_run: bool = False, may_be_retry: bool = True
    ) -> EditResult:
        """Apply an edit to the table in the service, at most once.

        Parameters
        ----------
        edit : Edit
            The edit, with its ID.
        dry_run : bool
            Only validate the edit.
        may_be_retry : bool
            Whether the same edit may have been sent before, to any daemon. An earlier attempt
            may still take effect, so without an answer the result is unknown.

        Each attempt is conditional on the revision that was read, so only one attempt can take
        effect; the edit's ID in the table shows whether an unanswered attempt did.

        Returns
        -------
        EditResult
            `EditUnknown` if an attempt went unanswered and its effect was not determined in time.
        """
        deadline_seconds = self._context.now_seconds() + EDIT_TIMEOUT_SECONDS
        unanswered = may_be_retry
        async with self._edit_lock:
            while self._context.now_seconds() < deadline_seconds:
                read = await self._context.kv.read(TABLE_KEY)
                if isinstance(read, KvUnavailable):
                    await asyncio.sleep(EDIT_RETRY_DELAY_SECONDS)
                    continue
                outcome = apply_edit(_decode_document(read), edit)
                if not isinstance(outcome, EditAccepted):
                    return outcome
                if dry_run:
                    return EditDone(outcome.document.revision)
                written = await self._write(read, outcome.document)
                if written is True:
                    self._log_edit(edit)
                    await self._install(outcome.document)
                    return EditDone(outcome.document.revision)
                unanswered = unanswered or written is None
        return EditUnknown() if unanswered else EditUnavailable()

    def _log_edit(self, edit: Edit) -> None:
        self._context.log.write(events.EditAccepted(edit=edit.edit_id, operator=edit.operator))

    async def _write(self, read: KvRead, document: TableDocument) -> bool | None:
        """Write the document; return False if it was not written, None if that is unknown."""
        mod_revision = read.entries[0].mod_revision if read.entries else 0
        part = TxnPart(
            compares=(Compare(TABLE_KEY, "mod", mod_revision),),
            operations=(Operation(TABLE_KEY, msgspec.json.encode(document)),),
        )
        done = await self._context.kv.txn([part])
        if isinstance(done, KvUnavailable):
            return None if done.effect_unknown else False
        return done[0].succeeded

    async def _install(self, document: TableDocument) -> None:
        before = self._context.view.revision
        if self._context.view.replace_if_newer(document):
            self._context.log.write(
                events.TableInForce(revision=document.revision, revision_before=before)
            )
            self.changed.set()
            self.changed = asyncio.Event()
            await self._announce()


def _decode_document(read: KvRead) -> TableDocument:
    if not read.entries:
        return TableDocument()
    return msgspec.json.decode(read.entries[0].value, type=TableDocument)
