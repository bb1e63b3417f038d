"""State shared by the parts of a gateway."""

import random
import time
from dataclasses import dataclass, field

from rackswitch.clients.kv import KvClient
from rackswitch.clocks import LoopDelays
from rackswitch.daemon.context import DaemonContext
from rackswitch.gateway.cold_sends import ColdSends
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.start_times import StartTimes
from rackswitch.gateway.store.member_entries import MemberEntry
from rackswitch.gateway.store.reachability import StoreReachability
from rackswitch.jobs import Job
from rackswitch.membership import VmCapacity, counted_capacities
from rackswitch.platform.settings import NodeSettings
from rackswitch.routing import (
    Eligibility,
    LoadEstimator,
    PathClass,
    PathDelays,
    RegionMap,
    Target,
    TargetDirectory,
    intersect_regions,
)
from rackswitch.table import (
    LimitsRow,
    RouteIndex,
    RouteRow,
    ServiceRow,
    TableConfirmation,
    TenantRow,
)
from rackswitch.telemetry import DecisionLog
from rackswitch.tenants import TenantIndex
from rackswitch.usage import UsageCounts, UsageWindows
from rackswitch.web.connection_limits import ConnectionLimits
from rackswitch.weights import EngineLoads

__all__ = ["GatewayContext", "TableInUse"]

MAX_EXTRA_TIMEOUT_SECONDS = 0.5
"""Upper bound of the addition to the timeout of a call to another region. Slow replies count in the
measured delay, and must not lengthen the timeouts of later calls without limit."""


def _start_times_from_now() -> StartTimes:
    return StartTimes(time.clock_gettime(time.CLOCK_BOOTTIME))


def _initial_connection_limits() -> ConnectionLimits:
    """Return the limits that apply until a table is known: the defaults of a row."""
    row = LimitsRow(name="callers")
    return ConnectionLimits(row.header_timeout_seconds, row.idle_timeout_seconds)


def _initial_usage_counts() -> UsageCounts:
    """Return counts for a deployment without usage reports, where they are not read."""
    return UsageCounts(UsageWindows(5.0, 10.0), time.time())


@dataclass(frozen=True, slots=True)
class TableInUse:
    """The table by which a request was routed.

    Attributes
    ----------
    age_seconds : float
        Age of its last confirmation; -1 if there was none.
    """

    revision: int
    age_seconds: float


@dataclass(slots=True)
class GatewayContext:
    """State and connections that several parts of one gateway use.

    Attributes
    ----------
    policy : PolicySettings
        Switches of the gateway's mechanisms.
    daemon : DaemonContext
        The part shared with daemons of the stand-alone deployment: the table in force, the
        members, clock, tasks and work in flight.
    routes : RouteIndex
        The routes of the table in force.
    tenants : TenantIndex
        Tenants by API key, from the table in force.
    usage : UsageCounts
        Counts of tenants' requests that started at this daemon.
    named_versions : dict of str to int
        The newest version of each model that its trainer has named.
    targets : dict of str to Target
        Load, speed and health of the listed targets, by instance.
    load_estimator : LoadEstimator
        Estimates of the targets' load, from their load reports and this daemon's own requests.
    process_started_unix_seconds : float
        When this process started; identifies the process together with the daemon's name.
    member_entries : dict of str to MemberEntry
        Last known entry of each daemon, also after the entry was removed.
    loads : EngineLoads
        Loads of weights in progress, by engine.
    list_confirmed_at_seconds : float
        When the key-value service last confirmed the list of targets (monotonic).
    table_confirmation : TableConfirmation
        Its last confirmation of the table and the other entries of operators.
    start_times : StartTimes
        How long the parts of the start took.
    cold_sends : ColdSends
        What this daemon may send to targets that are cold.
    connection_limits : ConnectionLimits
        Idle and header timeouts of callers' connections, from the table.
    path_delays : PathDelays
        Measured network delays by zone; used only in deployments with several regions.
    stop_deadline_seconds : float
        When this daemon, if it is stopping, cuts off the requests in flight (monotonic); infinite
        otherwise.
    loop_delays : LoopDelays
        How late the event loop ran timers lately.
    """

    settings: NodeSettings
    daemon: DaemonContext
    store_reachability: StoreReachability
    policy: PolicySettings = field(default_factory=PolicySettings)
    routes: RouteIndex = field(default_factory=RouteIndex)
    directory: TargetDirectory = field(default_factory=TargetDirectory)
    tenants: TenantIndex = field(default_factory=TenantIndex)
    usage: UsageCounts = field(default_factory=_initial_usage_counts)
    named_versions: dict[str, int] = field(default_factory=dict)
    loads: EngineLoads = field(default_factory=EngineLoads)
    targets: dict[str, Target] = field(default_factory=dict)
    load_estimator: LoadEstimator = field(default_factory=LoadEstimator)
    connection_limits: ConnectionLimits = field(default_factory=_initial_connection_limits)
    list_confirmed_at_seconds: float = float("-inf")
    table_confirmation: TableConfirmation = field(default_factory=TableConfirmation)
    process_started_unix_seconds: float = field(default_factory=time.time)
    member_entries: dict[str, MemberEntry] = field(default_factory=dict)
    start_times: StartTimes = field(default_factory=_start_times_from_now)
    cold_sends: ColdSends = field(init=False)
    stop_deadline_seconds: float = float("inf")
    loop_delays: LoopDelays = field(default_factory=LoopDelays)
    path_delays: PathDelays = field(init=False)

    def __post_init__(self) -> None:
        regions = RegionMap(self.settings.zone, self.settings.region_of_zone)
        self.directory.eligibility = Eligibility(regions)
        self.cold_sends = ColdSends(self.daemon, self.directory, lambda: self.settings)
        self.path_delays = PathDelays(regions)
        self.load_estimator.excludes_paths = regions.has_regions

    @property
    def regions(self) -> RegionMap:
        """Regions of the zones, as seen from this daemon."""
        return self.directory.eligibility.regions

    def allowed_regions(self, route: RouteRow | None, tenant: str) -> frozenset[str] | None:
        """Return the regions that a route and a tenant allow; None for all.

        Parameters
        ----------
        route : RouteRow or None
            The route of a request; None if the table has none, which restricts nothing.
        tenant : str
            The tenant; empty if there is none.
        """
        row = self.daemon.view.row(TenantRow, tenant) if tenant else None
        return intersect_regions(
            route.allowed_regions if route is not None else (),
            row.allowed_regions if row is not None else (),
        )

    def job_regions(self, job: Job) -> frozenset[str] | None:
        """Return the regions in which a job's items may run by the table in force; None for all."""
        return self.allowed_regions(self.routes.find(job.host, job.path), job.tenant)

    @property
    def kv(self) -> KvClient:
        """Client of the key-value service."""
        return self.daemon.kv

    @property
    def log(self) -> DecisionLog:
        """Log of decisions."""
        return self.daemon.log

    @property
    def rng(self) -> random.Random:
        """Source of random choices."""
        return self.daemon.rng

    @property
    def table_revision(self) -> int:
        """Revision of the table in force; 0 if none is known yet."""
        return self.daemon.view.revision

    @property
    def daemon_name(self) -> str:
        """This daemon's name."""
        return self.settings.daemon

    def process_start(self, daemon: str) -> float | None:
        """Return when the latest known process of a daemon started; None if none is known."""
        entry = self.member_entries.get(daemon)
        return entry.started_at_unix_seconds if entry is not None else None

    def capacity_of(self, daemon: str) -> VmCapacity:
        """Return what a daemon's VM can carry."""
        limits = self.settings if daemon == self.daemon_name else self.member_entries.get(daemon)
        if limits is None:
            return VmCapacity()
        return VmCapacity(limits.processor_share, limits.memory_mb, limits.link_mbps)

    def placing_capacities(self) -> dict[str, VmCapacity]:
        """Return what live daemons' VMs can carry, as far as owners and the tree are chosen by it.

        Memory and link count where the settings name several regions or the table states the rate
        of cold targets. Other deployments keep the choice by processor share.
        """
        capacities = {name: self.capacity_of(name) for name in self.daemon.membership.live()}
        # Checked once and not for each member, as it visits all rows of the table.
        if self.regions.has_regions or self._has_cold_rates():
            return capacities
        return {name: VmCapacity(one.processor_share) for name, one in capacities.items()}

    def _has_cold_rates(self) -> bool:
        rows = self.daemon.view.rows(ServiceRow)
        return any(row.cold_requests_per_second > 0 for row in rows)

    def counted_capacities(self) -> dict[str, VmCapacity]:
        """Return the capacities of live daemons, with what differs among them."""
        return counted_capacities(self.placing_capacities())

    def chooses_targets_by_load(self, service: str) -> bool:
        """Return whether a service's targets are chosen by their reported load.

        This is the case if they report their pace, as their speeds may differ, or if calls are
        queued, as the demand may exceed the capacity. It is also the case in a deployment with
        several regions, where only a finish time can count the delay of the path to a target.
        """
        return (
            self.settings.queues_calls
            or self.regions.has_regions
            or self.load_estimator.reports_pace(service)
        )

    def path_class(self, zone: str) -> PathClass:
        """Return how far a zone is; `SAME_REGION` for all zones without several regions."""
        return self.regions.path_class(zone) if self.regions.has_regions else PathClass.SAME_REGION

    def record_round_trip(self, zone: str, round_trip_seconds: float) -> None:
        """Record a measured round trip to a zone, and apply it to the zone's targets."""
        if self.regions.has_regions:
            now_seconds = self.now_seconds()
            self.path_delays.record_round_trip(zone, round_trip_seconds, now_seconds)
            self._update_delays(zone, now_seconds)

    def refresh_path_delays(self) -> None:
        """Apply delays that were not measured for long to the targets."""
        if self.regions.has_regions:
            for zone in {target.zone for target in self.targets.values()}:
                self._update_delays(zone, self.now_seconds())

    def extra_timeout_seconds(self, zone: str) -> float:
        """Return what a call to a daemon in a zone is allowed for the path to another region."""
        if self.path_class(zone) is not PathClass.OTHER_REGION:
            return 0.0
        round_trip_seconds = 2 * self.path_delays.one_way_seconds(zone, self.now_seconds())
        return min(MAX_EXTRA_TIMEOUT_SECONDS, round_trip_seconds)

    def _update_delays(self, zone: str, now_seconds: float) -> None:
        one_way_seconds = self.path_delays.one_way_seconds(zone, now_seconds)
        for target in self.targets.values():
            if target.zone == zone:
                target.one_way_seconds = one_way_seconds

    def list_age_seconds(self) -> float:
        """Return the age of the last confirmation of the list of targets; -1 if there is none."""
        return self._logged_age_seconds(self.list_confirmed_at_seconds)

    def table_age_seconds(self) -> float:
        """Return the age of the last confirmation of the table; -1 if there is none."""
        return self._logged_age_seconds(self.table_confirmation.at_seconds)

    def is_table_current(self, min_revision: int = 0) -> bool:
        """Return whether decisions that cannot be taken back may follow from the table in force.

        Parameters
        ----------
        min_revision : int, optional
            The key-value service's revision of the write that the decision is about.
        """
        return self.table_confirmation.is_current(self.now_seconds(), min_revision)

    def table_in_use(self) -> TableInUse:
        """Return the revision and age of the table in force, for the log."""
        return TableInUse(self.table_revision, self.table_age_seconds())

    def _logged_age_seconds(self, confirmed_at_seconds: float) -> float:
        age_seconds = self.now_seconds() - confirmed_at_seconds
        return round(age_seconds, 3) if age_seconds < float("inf") else -1.0

    def remove_unlisted_estimates(self) -> None:
        """Drop the load estimates of target starts that are no longer listed."""
        self.directory.expire(self.now_seconds())
        listed_starts = {target.start for target in self.directory.entries.values()}
        self.load_estimator.keep_only(listed_starts)
        self.cold_sends.keep_only(listed_starts)

    def unix_seconds(self) -> float:
        """Return the Unix time, for comparisons between daemons, whose clocks differ slightly."""
        return time.time()

    def now_seconds(self) -> float:
        """Return the monotonic clock."""
        return self.daemon.now_seconds()
