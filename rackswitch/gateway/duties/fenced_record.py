"""What the holder of the duties keeps in the key-value service for its successor."""

from typing import Generic, TypeVar

import msgspec

from rackswitch.clients.kv import Compare, KvEntry, KvUnavailable, Operation
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_TURN, DutyRecord, note_record
from rackswitch.gateway.turns import Entry, TurnManager

__all__ = ["FencedRecord"]

T = TypeVar("T", bound=msgspec.Struct)


class FencedRecord(Generic[T]):
    """A value under one key, written along with the holder's entry in the record of turns.

    A write holds only if the key is as it was last read or written here, so that an earlier write
    whose answer was lost cannot undo a later one.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    turns : TurnManager
        This daemon's turns as the holder.
    key : str
        Where the value lies. Not among the entries that every daemon follows: only the holder
        needs it.
    empty : msgspec.Struct
        The value of a key that is not there.

    Attributes
    ----------
    value : msgspec.Struct or None
        What the service holds; None while that is not known.
    """

    __slots__ = ("_context", "_empty", "_key", "_revision", "_turns", "value")

    def __init__(self, context: GatewayContext, turns: TurnManager, key: str, empty: T):
        self._context = context
        self._turns = turns
        self._key = key
        self._empty = empty
        self._revision = 0
        self.value: T | None = None

    async def present(self) -> T | None:
        """Return the value while this daemon may act on it, read if need be; else None."""
        may_act = await self._turns.is_open(DUTIES_TURN, self._note_turn)
        if not may_act:
            # Whoever acts meanwhile writes it.
            self.value = None
            return None
        return self.value if self.value is not None else await self._read()

    async def enter_with(self, value: T) -> Entry | None:
        """Write a value and this daemon's entry; return None if it is not known to be written."""
        record = msgspec.json.encode(DutyRecord(self._context.daemon_name))
        put = Operation(self._key, msgspec.json.encode(value))
        unchanged = Compare(self._key, "mod", self._revision)
        entry = await self._turns.enter(DUTIES_TURN, record, (put,), (unchanged,))
        if entry is None:
            # It may have been written all the same: what is there must be read again.
            self.value = None
            return None
        self.value, self._revision = value, entry.revision
        return entry

    async def _read(self) -> T | None:
        read = await self._context.kv.read(self._key)
        if isinstance(read, KvUnavailable):
            self._context.contact.failed(self._context.now_seconds(), read.detail)
            return None
        self.value, self._revision = self._empty, 0
        for found in read.entries:
            self.value = msgspec.json.decode(found.value, type=type(self._empty))
            self._revision = found.mod_revision
        return self.value

    def _note_turn(self, entry: KvEntry) -> None:
        note_record(self._turns, entry)
