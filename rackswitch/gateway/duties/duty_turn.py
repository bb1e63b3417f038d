"""The role whose holder calls the operators' API, and its record."""

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.gateway.turns import Turn, TurnManager

__all__ = ["DUTIES_KEY", "DUTIES_ROLE", "DUTIES_TURN", "DutyRecord", "record_duty_entry"]

DUTIES_ROLE = "duties"
"""One role for all of these calls: they are few, and every role costs a lease renewal each 0.67
s."""
DUTIES_KEY = "control/duties"
DUTIES_TURN = Turn("duties", DUTIES_ROLE, DUTIES_KEY)
"""One role for all of these calls: they are few, and every role needs regular lease renewals."""


class DutyRecord(msgspec.Struct, frozen=True):
    """Record of the daemon that calls the operators' API."""

    holder: str


def record_duty_entry(turns: TurnManager, entry: KvEntry) -> None:
    """Update the turns by the stored record."""
    record = msgspec.json.decode(entry.value, type=DutyRecord)
    turns.record_entry(DUTIES_TURN.group, record.holder, entry.mod_revision)
