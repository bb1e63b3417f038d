"""What the gateway's parts share."""

import random
import time
from dataclasses import dataclass, field

from rackswitch.clients.kv import KvClient
from rackswitch.daemon.context import DaemonContext
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.store.member_entries import MemberEntry
from rackswitch.gateway.store.reachability import StoreReachability
from rackswitch.platform.settings import NodeSettings
from rackswitch.routing import LoadEstimator, Target, TargetDirectory
from rackswitch.table import LimitsRow, RouteIndex
from rackswitch.telemetry import DecisionLog
from rackswitch.tenants import TenantIndex
from rackswitch.usage import UsageCounts, UsageWindows
from rackswitch.web.connection_limits import ConnectionLimits
from rackswitch.weights import EngineLoads

__all__ = ["GatewayContext"]


def _first_connection_limits() -> ConnectionLimits:
    """Return the limits that hold before a table is known: those of a row that says nothing."""
    row = LimitsRow(name="callers")
    return ConnectionLimits(row.header_timeout_seconds, row.idle_timeout_seconds)


def _first_usage_counts() -> UsageCounts:
    """Return counts for a deployment that wants no reports: nobody asks for them."""
    return UsageCounts(UsageWindows(5.0, 10.0), time.time())


@dataclass(slots=True)
class GatewayContext:
    """State and connections that several parts of one gateway use.

    Attributes
    ----------
    policy : PolicySettings
        Mechanisms that are switched on.
    daemon : DaemonContext
        What is common with a daemon of the stand-alone deployment: the table in force, the
        members, clock, tasks and work in flight.
    routes : RouteIndex
        The routes of the table in force.
    tenants : TenantIndex
        Who holds which key by the table in force.
    usage : UsageCounts
        Requests of tenants that began here.
    named_versions : dict of str to int
        The newest version of each model that its trainer has named.
    targets : dict of str to Target
        Load, speed and health of the listed targets, by instance.
    load_estimator : LoadEstimator
        What is believed of the targets' load, by what they tell and by own requests.
    process_started_unix_seconds : float
        When this process began; with the daemon's name it tells processes apart.
    member_entries : dict of str to MemberEntry
        What each daemon last told of itself, also after its entry has gone.
    loads : EngineLoads
        Which engines load weights at present.
    list_confirmed_at_seconds : float
        When (monotonic) the service last vouched for the list of targets.
    connection_limits : ConnectionLimits
        How long callers' connections may rest and their heads may take, by the table.
    """

    settings: NodeSettings
    daemon: DaemonContext
    contact: StoreReachability
    policy: PolicySettings = field(default_factory=PolicySettings)
    routes: RouteIndex = field(default_factory=RouteIndex)
    directory: TargetDirectory = field(default_factory=TargetDirectory)
    tenants: TenantIndex = field(default_factory=TenantIndex)
    usage: UsageCounts = field(default_factory=_first_usage_counts)
    named_versions: dict[str, int] = field(default_factory=dict)
    loads: EngineLoads = field(default_factory=EngineLoads)
    targets: dict[str, Target] = field(default_factory=dict)
    load_estimator: LoadEstimator = field(default_factory=LoadEstimator)
    connection_limits: ConnectionLimits = field(default_factory=_first_connection_limits)
    list_confirmed_at_seconds: float = float("-inf")
    process_started_unix_seconds: float = field(default_factory=time.time)
    member_entries: dict[str, MemberEntry] = field(default_factory=dict)

    @property
    def kv(self) -> KvClient:
        """The key-value service."""
        return self.daemon.kv

    @property
    def log(self) -> DecisionLog:
        """Where decisions are logged."""
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
        """Return when the latest known process of a daemon began; None if none is known."""
        entry = self.member_entries.get(daemon)
        return entry.started_at_unix_seconds if entry is not None else None

    def room_of(self, daemon: str) -> float:
        """Return the share of a processor that a daemon's VM has; 0 if it is not known."""
        if daemon == self.daemon_name:
            return self.settings.processor_share
        entry = self.member_entries.get(daemon)
        return entry.processor_share if entry is not None else 0.0

    def places_by_load(self, service: str) -> bool:
        """Return whether a service's targets are chosen by what they tell of their load.

        So where they tell their pace, as places there differ; and where callers may want more
        than there is room for, as each place counts then.
        """
        return self.settings.queues_calls or self.load_estimator.tells_pace(service)

    def list_age_seconds(self) -> float:
        """Return how old the service's word for the list of targets is; -1 if there is none."""
        age_seconds = self.now_seconds() - self.list_confirmed_at_seconds
        return round(age_seconds, 3) if age_seconds < float("inf") else -1.0

    def forget_unlisted(self) -> None:
        """Drop what is believed of the load of starts that the list has no more."""
        self.directory.expire(self.now_seconds())
        self.load_estimator.keep_only({target.start for target in self.directory.entries.values()})

    def unix_seconds(self) -> float:
        """Return the time of day, which daemons compare; they differ a little."""
        return time.time()

    def now_seconds(self) -> float:
        """Return the monotonic clock."""
        return self.daemon.now_seconds()
