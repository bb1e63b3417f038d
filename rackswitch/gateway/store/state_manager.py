"""Handling of changes to the desired state and the list of targets."""

from collections.abc import Callable

from rackswitch.clients.kv import KvEntry, KvUnavailable, Operation, TxnPart
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.quarantine.end_detector import EndDetector
from rackswitch.gateway.store.replica_set import ReplicaHandlers
from rackswitch.platform.desired_state import (
    LIMITS_NAME,
    EvacuationOrder,
    MalformedEntry,
    NamedVersion,
    RetireOrder,
    decode_operator_entry,
    encode_retired,
    evacuated_zone,
)
from rackswitch.platform.servers import decode_target, target_instance
from rackswitch.quarantine import EndEvidence
from rackswitch.routing import ListedTarget, Target
from rackswitch.table import LimitsRow, TableDocument, index_routes
from rackswitch.telemetry.events import (
    EntryUnreadable,
    EvacuationEnded,
    RetireAnswered,
    TableInForce,
    TargetGone,
    TargetListed,
    VersionNamed,
    ZoneEvacuated,
)
from rackswitch.tenants import index_tenants

__all__ = ["StateManager"]

SAME_ZONE_LATENCY_SECONDS = 0.0002
OTHER_ZONE_LATENCY_SECONDS = 0.001
"""Initial network latencies for routing; the platform does not report them."""


class StateManager:
    """Applies what operators, trainers and targets write to the key-value service.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    ends : EndDetector
        Receives the targets that have ended according to the list.

    Attributes
    ----------
    on_targets_excluded : callable
        Called when a zone's targets are excluded, after `context.directory` excludes them.
    """

    __slots__ = ("_context", "_ends", "_operators_source", "on_targets_excluded")

    def __init__(self, context: GatewayContext, ends: EndDetector):
        self._context = context
        self._ends = ends
        self._operators_source = ""
        self.on_targets_excluded: Callable[[], None] = lambda: None

    def operator_handlers(self) -> ReplicaHandlers:
        """Return the handlers of the operators' and trainers' entries."""
        return ReplicaHandlers(
            self._operator_put,
            self._operator_deleted,
            self._record_table_confirmed,
            self._record_operators_source,
        )

    def target_handlers(self) -> ReplicaHandlers:
        """Return the handlers of the list of targets."""
        return ReplicaHandlers(self._target_put, self._target_deleted, self._record_list_confirmed)

    def _record_table_confirmed(self, revision: int, at_seconds: float) -> None:
        self._context.table_confirmation.record(revision, at_seconds)

    def _record_operators_source(self, source: str) -> None:
        self._operators_source = source

    def _operator_put(self, entry: KvEntry) -> None:
        decoded = decode_operator_entry(entry.key, entry.value)
        if isinstance(decoded, MalformedEntry):
            self._log_unreadable(entry, decoded)
        elif isinstance(decoded, TableDocument):
            self._apply_table(decoded, entry.mod_revision)
        elif isinstance(decoded, NamedVersion):
            self._apply_version(decoded)
        elif isinstance(decoded, RetireOrder):
            self._context.daemon.spawn(self._acknowledge_retirement(decoded.vm))
        elif isinstance(decoded, EvacuationOrder):
            self._evacuate(decoded.zone, entry.mod_revision)

    def _operator_deleted(self, key: str) -> None:
        """End the evacuation that a deleted key ordered.

        Other deletions are ignored: the newest table and versions stay in force.
        """
        zone = evacuated_zone(key)
        if zone is not None:
            self._evacuation_ended(zone)

    def _evacuate(self, zone: str, revision: int) -> None:
        directory = self._context.directory
        if not directory.eligibility.evacuate(zone, revision, self._context.now_seconds()):
            return
        self._context.log.write(
            ZoneEvacuated(
                zone=zone,
                revision=revision,
                list_age_seconds=self._context.list_age_seconds(),
                zones_evacuated=len(directory.eligibility.evacuations),
                targets_excluded=directory.evacuated_counts(),
            )
        )
        self.on_targets_excluded()

    def _evacuation_ended(self, zone: str) -> None:
        """Use a zone's targets again; the only place where the end of an evacuation is handled."""
        directory = self._context.directory
        evacuation = directory.eligibility.end_evacuation(zone)
        if evacuation is None:
            return
        # The targets may have become cold during the evacuation without a known entry.
        self._context.cold_sends.mark_zone_cold(zone)
        evacuated_seconds = self._context.now_seconds() - evacuation.since_seconds
        self._context.log.write(
            EvacuationEnded(
                zone=zone,
                revision=evacuation.revision,
                list_age_seconds=self._context.list_age_seconds(),
                evacuated_seconds=round(evacuated_seconds, 3),
                zones_evacuated=len(directory.eligibility.evacuations),
                targets_excluded=directory.evacuated_counts(),
            )
        )

    def _record_list_confirmed(self, _revision: int, at_seconds: float) -> None:
        self._context.list_confirmed_at_seconds = at_seconds

    def _log_unreadable(self, entry: KvEntry, fault: MalformedEntry) -> None:
        self._context.log.write(
            EntryUnreadable(key=entry.key, revision=entry.mod_revision, detail=fault.detail)
        )

    def _apply_table(self, document: TableDocument, entry_revision: int) -> None:
        previous = self._context.table_revision
        if self._context.daemon.view.replace_if_newer(document):
            self._context.routes = index_routes(document)
            self._context.tenants = index_tenants(document, self._context.tenants)
            self._apply_limits()
            self._context.log.write(
                TableInForce(
                    revision=document.revision,
                    revision_before=previous,
                    entry_revision=entry_revision,
                    received_from=self._operators_source,
                    unconfirmed_seconds=self._context.table_age_seconds(),
                )
            )

    def _apply_limits(self) -> None:
        row = self._context.daemon.view.row(LimitsRow, LIMITS_NAME)
        if row is not None:
            limits = self._context.connection_limits
            limits.header_timeout_seconds = row.header_timeout_seconds
            limits.idle_timeout_seconds = row.idle_timeout_seconds

    def _apply_version(self, named: NamedVersion) -> None:
        previous = self._context.named_versions.get(named.model, 0)
        if named.version > previous:
            self._context.named_versions[named.model] = named.version
            self._context.log.write(
                VersionNamed(model=named.model, version=named.version, version_before=previous)
            )

    async def _acknowledge_retirement(self, vm: str) -> None:
        """Confirm that a VM may be retired, unless confirmed already; VMs store nothing durable."""
        key, value = encode_retired(vm)
        read = await self._context.kv.read(key)
        if isinstance(read, KvUnavailable) or read.entries:
            return
        part = TxnPart((), (Operation(key, value),))
        result = await self._context.kv.txn([part])
        outcome = result.detail if isinstance(result, KvUnavailable) else "told"
        self._context.log.write(RetireAnswered(vm=vm, outcome=outcome))

    def _target_put(self, entry: KvEntry) -> None:
        instance = target_instance(entry.key)
        target = decode_target(instance, entry.value)
        if isinstance(target, MalformedEntry):
            self._log_unreadable(entry, target)
            # A malformed entry describes no usable target.
            self._context.directory.remove_replaced(instance)
            return
        previous = self._context.directory.entries.get(instance)
        self._report_ended_starts(previous, target)
        self._context.directory.put(target)
        self._track_start(target)
        self._context.cold_sends.record_entry(target, entry.mod_revision)
        self._context.loads.record_versions(instance, target.versions, self._context.now_seconds())
        if previous is None or previous.draining != target.draining:
            self._context.log.write(
                TargetListed(
                    target=instance,
                    service=target.service,
                    draining=target.draining,
                    revision=entry.mod_revision,
                )
            )

    def _report_ended_starts(self, previous: ListedTarget | None, target: ListedTarget) -> None:
        """Report the starts that a newly listed start has replaced.

        Skipped while no inquiry is open: searching the whole list for each entry would make the
        first snapshot of a long list quadratic.
        """
        if not self._ends.investigations.any_open:
            return
        if previous is not None and previous.start != target.start:
            self._ends.record_end(previous.start, EndEvidence.REPLACED)
        for other in self._context.directory.at_address(target.host, target.port):
            if other.instance != target.instance:
                self._ends.record_end(other.start, EndEvidence.REPLACED)

    def _target_deleted(self, key: str) -> None:
        instance = target_instance(key)
        previous = self._context.directory.entries.get(instance)
        now_seconds = self._context.now_seconds()
        back_seconds = self._context.store_reachability.recovered_at_seconds
        self._context.directory.remove(instance, now_seconds, back_seconds)
        is_lapsed = instance in self._context.directory.lapsed
        if not is_lapsed:
            self._context.loads.remove_engine(instance)
            if previous is not None:
                self._context.load_estimator.forget(previous.start)
            if previous is not None and not previous.draining:
                self._ends.record_end(previous.start, EndEvidence.UNLISTED)
        self._context.log.write(TargetGone(target=instance, still_used=is_lapsed))

    def _track_start(self, listed: ListedTarget) -> None:
        """Create the estimates for a new start of a target.

        Those of an earlier start of the same instance are discarded: its circuit breaker, load,
        speed, cached prompts and ordered model loads.
        """
        known = self._context.targets.get(listed.instance)
        if known is not None and known.start == listed.start:
            return
        self._context.loads.remove_engine(listed.instance)
        if known is not None:
            self._context.load_estimator.forget(known.start)
        same_zone = listed.zone == self._context.settings.zone
        distance_seconds = SAME_ZONE_LATENCY_SECONDS if same_zone else OTHER_ZONE_LATENCY_SECONDS
        if self._context.regions.has_regions:
            now_seconds = self._context.now_seconds()
            distance_seconds = self._context.path_delays.one_way_seconds(listed.zone, now_seconds)
        self._context.targets[listed.instance] = Target(
            listed.instance, listed.url, listed.zone, distance_seconds, start=listed.start
        )
