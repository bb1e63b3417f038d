"""Dispatch of the control entries that daemons write for each other."""

from rackswitch.clients.kv import KvEntry
from rackswitch.daemon.roles import RoleManager
from rackswitch.decoding import DECODE_ERRORS, error_detail
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_KEY, record_duty_entry
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_records import JOBS_PREFIX, OWNERS_PREFIX
from rackswitch.gateway.quarantine.end_reporter import ENDS_PREFIX
from rackswitch.gateway.quarantine.quarantine_manager import TRIALS_PREFIX, QuarantineManager
from rackswitch.gateway.store.member_entries import MEMBERS_PREFIX, decode_member, vm_entry
from rackswitch.gateway.store.replica_set import ReplicaHandlers
from rackswitch.gateway.store.role_entries import ROLES_PREFIX, RoleEntries
from rackswitch.gateway.turns import TurnManager
from rackswitch.gateway.versions.version_manager import ORDERS_PREFIX, VersionManager
from rackswitch.membership import VmEntry
from rackswitch.telemetry.events import EntryUnreadable

__all__ = ["CONTROL_PREFIX", "ControlEntries"]

CONTROL_PREFIX = "control/"
"""Prefix of members, job markers, job owners, roles, orders and quarantine records: small entries
that every daemon replicates."""


class ControlEntries:
    """Dispatches the entries under `CONTROL_PREFIX`.

    Parameters
    ----------
    context : GatewayContext
        The daemon, whose membership receives the members.
    jobs : JobManager
        Receives job markers and owners.
    versions : VersionManager
        Receives the records of orders.
    roles : RoleEntries
        Receives which roles have a holder.
    role_manager : RoleManager
        Receives the holders, and ends the lease of an earlier process of this daemon.
    duty_turns : TurnManager
        Receives the record of who calls the operators' API.
    quarantine : QuarantineManager
        Receives the ends of targets and the requests on trial.
    """

    __slots__ = (
        "_context",
        "_duty_turns",
        "_jobs",
        "_role_manager",
        "_members",
        "_members_changed",
        "_quarantine",
        "_roles",
        "_versions",
    )

    def __init__(
        self,
        context: GatewayContext,
        jobs: JobManager,
        versions: VersionManager,
        roles: RoleEntries,
        role_manager: RoleManager,
        duty_turns: TurnManager,
        quarantine: QuarantineManager,
    ):
        self._quarantine = quarantine
        self._duty_turns = duty_turns
        self._roles = roles
        self._role_manager = role_manager
        self._context = context
        self._jobs = jobs
        self._versions = versions
        self._members: dict[str, VmEntry] = {}
        self._members_changed = False

    def handlers(self) -> ReplicaHandlers:
        """Return the handlers of the entries."""
        return ReplicaHandlers(self._put, self._deleted, on_batch_end=self._update_membership)

    def _put(self, entry: KvEntry) -> None:
        """Dispatch an entry; log and ignore one that cannot be decoded."""
        try:
            self._dispatch(entry)
        except DECODE_ERRORS as error:
            self._context.log.write(
                EntryUnreadable(
                    key=entry.key, revision=entry.mod_revision, detail=error_detail(error)
                )
            )

    def _dispatch(self, entry: KvEntry) -> None:
        if entry.key.startswith(MEMBERS_PREFIX):
            self._put_member(entry)
        elif entry.key.startswith(JOBS_PREFIX):
            self._jobs.marker_put(entry)
        elif entry.key.startswith(OWNERS_PREFIX):
            self._jobs.owner_put(entry)
        elif entry.key.startswith(ORDERS_PREFIX):
            self._versions.record_orders(entry)
        elif entry.key.startswith(ENDS_PREFIX):
            self._quarantine.record_put(entry)
        elif entry.key.startswith(TRIALS_PREFIX):
            self._quarantine.trial_put(entry)
        elif entry.key == DUTIES_KEY:
            record_duty_entry(self._duty_turns, entry)
        elif entry.key.startswith(ROLES_PREFIX):
            self._roles.put(entry.key.removeprefix(ROLES_PREFIX))
            self._context.daemon.spawn(self._role_manager.end_predecessors_lease(entry.value))

    def _deleted(self, key: str) -> None:
        if key.startswith(MEMBERS_PREFIX):
            self._members.pop(key.removeprefix(MEMBERS_PREFIX), None)
            self._members_changed = True
        elif key.startswith(JOBS_PREFIX):
            self._jobs.marker_deleted(key)
        elif key.startswith(OWNERS_PREFIX):
            self._jobs.owner_deleted(key)
        elif key.startswith(ENDS_PREFIX):
            self._quarantine.record_deleted(key)
        elif key.startswith(TRIALS_PREFIX):
            self._quarantine.trial_deleted(key)
        elif key.startswith(ROLES_PREFIX):
            self._roles.deleted(key.removeprefix(ROLES_PREFIX))

    def _put_member(self, entry: KvEntry) -> None:
        name = entry.key.removeprefix(MEMBERS_PREFIX)
        member = decode_member(entry.value)
        self._members[name] = vm_entry(name, member)
        self._members_changed = True
        self._context.member_entries[name] = member

    def _update_membership(self) -> None:
        """Update the membership once for each batch of entries.

        An update for each entry would make the first snapshot quadratic in the fleet's size: some
        100,000 steps for 330 daemons.
        """
        if not self._members_changed:
            return
        self._members_changed = False
        membership = self._context.daemon.membership
        membership.update_from_complete_list(
            list(self._members.values()), self._context.now_seconds()
        )
