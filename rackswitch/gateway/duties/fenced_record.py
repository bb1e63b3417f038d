"""State that the holder of the duties stores in the key-value service for its successor."""

from typing import Generic, TypeVar

import msgspec

from rackswitch.clients.kv import Compare, KvEntry, KvUnavailable, Operation
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_TURN, DutyRecord, record_duty_entry
from rackswitch.gateway.turns import Entry, TurnManager

__all__ = ["FencedRecord"]

T = TypeVar("T", bound=msgspec.Struct)


class FencedRecord(Generic[T]):
    """A value under one key, written in one transaction with the holder's entry.

    A write succeeds only if the key is unchanged since it was last read or written here, so that a
    delayed write cannot undo a later one.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    turns : TurnManager
        Checks that this daemon may act as the holder.
    key : str
        Key of the value. It is outside the prefixes that every daemon watches: only the holder
        needs it.
    empty : msgspec.Struct
        The value if the key does not exist.

    Attributes
    ----------
    value : msgspec.Struct or None
        The stored value; None while it is unknown.
    """

    __slots__ = ("_context", "_empty", "_key", "_revision", "_turns", "value")

    def __init__(self, context: GatewayContext, turns: TurnManager, key: str, empty: T):
        self._context = context
        self._turns = turns
        self._key = key
        self._empty = empty
        self._revision = 0
        self.value: T | None = None

    async def current_value(self) -> T | None:
        """Return the value, reading it if necessary; None if unknown or this daemon may not act."""
        may_act = await self._turns.may_act_now(DUTIES_TURN, self._record_turn)
        if not may_act:
            # Another holder may change it.
            self.value = None
            return None
        return self.value if self.value is not None else await self._read()

    async def write_with_entry(self, value: T) -> Entry | None:
        """Write a value and this daemon's entry; return None unless the write is confirmed."""
        record = msgspec.json.encode(DutyRecord(self._context.daemon_name))
        write = Operation(self._key, msgspec.json.encode(value))
        unchanged = Compare(self._key, "mod", self._revision)
        entry = await self._turns.write_entry(DUTIES_TURN, record, (write,), (unchanged,))
        if entry is None:
            # The write may have taken effect, so the value must be read again.
            self.value = None
            return None
        self.value, self._revision = value, entry.revision
        return entry

    async def _read(self) -> T | None:
        read = await self._context.kv.read(self._key)
        if isinstance(read, KvUnavailable):
            self._context.store_reachability.record_failure(
                self._context.now_seconds(), read.detail
            )
            return None
        self.value, self._revision = self._empty, 0
        for found in read.entries:
            self.value = msgspec.json.decode(found.value, type=type(self._empty))
            self._revision = found.mod_revision
        return self.value

    def _record_turn(self, entry: KvEntry) -> None:
        record_duty_entry(self._turns, entry)
