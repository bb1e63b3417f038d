"""Turns of a role's holders, for calls whose receivers do not check fencing numbers."""

from collections.abc import Callable
from dataclasses import dataclass

from rackswitch.clients.kv import Compare, KvEntry, KvUnavailable, Operation, TxnPart
from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.context import GatewayContext
from rackswitch.leases import OrderTurns
from rackswitch.telemetry.events import OrdersTakenOver

__all__ = ["Entry", "Turn", "TurnManager"]


@dataclass(frozen=True, slots=True)
class Turn:
    """A kind of action that one holder at a time carries out.

    Attributes
    ----------
    group : str
        Name of the object of the action.
    role : str
        The role whose holder acts.
    key : str
        Key of the record in which the holder writes its entry before it acts.
    """

    group: str
    role: str
    key: str


@dataclass(frozen=True, slots=True)
class Entry:
    """A written entry.

    Attributes
    ----------
    began_seconds : float
        When the write started (monotonic).
    revision : int
        Revision of the key-value service after the write.
    """

    began_seconds: float
    revision: int


class TurnManager:
    """Lets this daemon act in roles whose holders take turns by a record in the key-value service.

    A holder writes its entry under its role's fence and acts only shortly after that. A new holder
    reads the record once and waits for one turn after the former holder's last possible action.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    roles : RoleManager
        Manages this daemon's leases on roles.
    """

    __slots__ = ("_context", "_read_fencing", "_roles", "order_turns")

    def __init__(self, context: GatewayContext, roles: RoleManager):
        self._context = context
        self._roles = roles
        self._read_fencing: dict[str, int] = {}
        self.order_turns = OrderTurns(context.settings.daemon)

    def record_entry(self, group: str, holder: str, revision: int) -> None:
        """Record the latest entry of a group."""
        self.order_turns.record_entry(group, holder, revision, self._context.now_seconds())

    def last_holder(self, group: str) -> str | None:
        """Return the daemon that wrote the last entry of a group.

        It may act again at once; any other daemon has to wait for the end of that turn.
        """
        return self.order_turns.last_holder(group)

    def may_act_from_seconds(self, group: str) -> float:
        """Return when this daemon may act as the holder (event loop time); -inf if at any time."""
        turn_seconds = self._context.settings.order_turn_seconds
        return self.order_turns.may_order_from_seconds(group, turn_seconds)

    async def may_act_now(self, turn: Turn, on_entry: Callable[[KvEntry], None]) -> bool:
        """Return whether this daemon may write an entry and act now.

        Parameters
        ----------
        turn : Turn
            The action.
        on_entry : callable
            Decodes the record and calls `record_entry`.
        """
        if not self._roles.may_act(turn.role) or not await self._read_record(turn, on_entry):
            return False
        return self._context.now_seconds() >= self.may_act_from_seconds(turn.group)

    async def write_entry(
        self,
        turn: Turn,
        record: bytes,
        extra_operations: tuple[Operation, ...] = (),
        conditions: tuple[Compare, ...] = (),
    ) -> Entry | None:
        """Write this daemon's entry under the role's fence.

        Parameters
        ----------
        turn : Turn
            The action.
        record : bytes
            The record's new content.
        extra_operations : tuple of Operation
            Further writes of the same transaction.
        conditions : tuple of Compare
            Further conditions of the transaction. If it fails, the role is not given up at once:
            its next renewal shows whether it is still held.

        Returns
        -------
        Entry or None
            None if the transaction failed or its outcome is unknown.
        """
        began_seconds = self._context.now_seconds()
        fence = self._roles.fence(turn.role)
        operations = (Operation(turn.key, record), *extra_operations)
        replies = await self._context.kv.txn([TxnPart((fence, *conditions), operations)])
        if isinstance(replies, KvUnavailable):
            self._context.store_reachability.record_failure(
                self._context.now_seconds(), replies.detail
            )
            return None
        if not replies[0].succeeded:
            if not conditions:
                self._roles.record_loss(turn.role)
            return None
        return Entry(began_seconds, replies[0].revision)

    def fencing_to_send(self, turn: Turn, entered_at_seconds: float) -> int | None:
        """Return the fencing number for a call made now; None if it is too late.

        Must be called right before the call, with no await in between.
        """
        is_in_time = self.order_turns.may_send(entered_at_seconds, self._context.now_seconds())
        if not is_in_time or not self._roles.may_act(turn.role):
            return None
        return self._roles.fencing(turn.role)

    async def _read_record(self, turn: Turn, on_entry: Callable[[KvEntry], None]) -> bool:
        """Read the record once after the role was acquired; return whether it was read.

        The former holder may have written an entry right before it lost the role, and this
        daemon's replica may lag. No later entry is possible, as entries are fenced by the role.
        """
        fencing = self._roles.fencing(turn.role)
        if self._read_fencing.get(turn.group) == fencing:
            return True
        read = await self._context.kv.read(turn.key)
        if isinstance(read, KvUnavailable):
            self._context.store_reachability.record_failure(
                self._context.now_seconds(), read.detail
            )
            return False
        for entry in read.entries:
            on_entry(entry)
        self._read_fencing[turn.group] = fencing
        wait_seconds = self.may_act_from_seconds(turn.group) - self._context.now_seconds()
        self._context.log.write(
            OrdersTakenOver(
                service=turn.group,
                fencing=fencing,
                wait_seconds=round(max(0.0, wait_seconds), 3),
            )
        )
        return True
