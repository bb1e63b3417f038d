"""Acting as the single holder of a role where nobody checks fencing numbers."""

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
    """What one holder at a time does.

    Attributes
    ----------
    group : str
        Name of what is acted upon.
    role : str
        The role whose holder acts.
    key : str
        Where the holder enters itself before it acts.
    """

    group: str
    role: str
    key: str


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry in a record.

    Attributes
    ----------
    began_seconds : float
        When it was begun (monotonic).
    revision : int
        The service's revision by it.
    """

    began_seconds: float
    revision: int


class TurnManager:
    """This daemon's side of roles whose holders take turns by a record in the service.

    A holder enters itself in the record under its role's fence and acts only shortly after that.
    A successor reads the record once and waits until the former holder's last possible act is a
    turn past.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    roles : RoleManager
        Leases on roles.
    """

    __slots__ = ("_context", "_read_under", "_roles", "order_turns")

    def __init__(self, context: GatewayContext, roles: RoleManager):
        self._context = context
        self._roles = roles
        self._read_under: dict[str, int] = {}
        self.order_turns = OrderTurns(context.settings.daemon)

    def entered(self, group: str, holder: str, revision: int) -> None:
        """Note who has entered the record of a group."""
        self.order_turns.entered(group, holder, revision, self._context.now_seconds())

    def last_holder(self, group: str) -> str | None:
        """Return the daemon that entered a group's record last.

        It may act again at once, where any other has to wait for the end of its turn.
        """
        return self.order_turns.last_holder(group)

    async def is_open(self, turn: Turn, on_entry: Callable[[KvEntry], None]) -> bool:
        """Return whether this daemon may enter the record now.

        Parameters
        ----------
        turn : Turn
            What is acted upon.
        on_entry : callable
            Takes in the record; it calls `entered`.
        """
        if not self._roles.may_act(turn.role) or not await self._knows_record(turn, on_entry):
            return False
        return self._context.now_seconds() >= self._may_act_from_seconds(turn)

    async def enter(
        self,
        turn: Turn,
        record: bytes,
        also: tuple[Operation, ...] = (),
        conditions: tuple[Compare, ...] = (),
    ) -> Entry | None:
        """Enter this daemon in the record under the role's fence.

        Parameters
        ----------
        turn : Turn
            What is acted upon.
        record : bytes
            The record's new content.
        also : tuple of Operation
            Written along with it, all or nothing.
        conditions : tuple of Compare
            What must hold besides. If they are what fails, the role's next renewal tells whether
            it is still held.

        Returns
        -------
        Entry or None
            None if it was not taken, or no answer tells so.
        """
        began_seconds = self._context.now_seconds()
        fence = self._roles.fence(turn.role)
        operations = (Operation(turn.key, record), *also)
        done = await self._context.kv.txn([TxnPart((fence, *conditions), operations)])
        if isinstance(done, KvUnavailable):
            self._context.contact.failed(self._context.now_seconds(), done.detail)
            return None
        if not done[0].succeeded:
            if not conditions:
                self._roles.lose(turn.role)
            return None
        return Entry(began_seconds, done[0].revision)

    def fencing_to_send(self, turn: Turn, entered_at_seconds: float) -> int | None:
        """Return the fencing number to act under now, or None if it is too late to act.

        To be called after the last wait, right before the effect.
        """
        in_time = self.order_turns.may_send(entered_at_seconds, self._context.now_seconds())
        if not in_time or not self._roles.may_act(turn.role):
            return None
        return self._roles.fencing(turn.role)

    def _may_act_from_seconds(self, turn: Turn) -> float:
        turn_seconds = self._context.settings.order_turn_seconds
        return self.order_turns.may_order_from_seconds(turn.group, turn_seconds)

    async def _knows_record(self, turn: Turn, on_entry: Callable[[KvEntry], None]) -> bool:
        """Read the record once after the role was acquired; return whether it is known.

        The former holder may have entered itself right before it lost the role, and this
        daemon's copy may lag. No entry of it can follow, as entries are fenced by the role.
        """
        fencing = self._roles.fencing(turn.role)
        if self._read_under.get(turn.group) == fencing:
            return True
        read = await self._context.kv.read(turn.key)
        if isinstance(read, KvUnavailable):
            self._context.contact.failed(self._context.now_seconds(), read.detail)
            return False
        for entry in read.entries:
            on_entry(entry)
        self._read_under[turn.group] = fencing
        wait_seconds = self._may_act_from_seconds(turn) - self._context.now_seconds()
        self._context.log.write(
            OrdersTakenOver(
                service=turn.group,
                fencing=fencing,
                wait_seconds=round(max(0.0, wait_seconds), 3),
            )
        )
        return True
