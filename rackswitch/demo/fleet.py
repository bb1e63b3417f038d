"""Daemons and stand-ins of a complete deployment in one event loop."""

import asyncio
import hashlib
from dataclasses import dataclass, field

import aiohttp
import msgspec

from rackswitch.daemon.core import Daemon
from rackswitch.daemon.settings import DaemonSettings
from rackswitch.standins.engine import EngineStandIn
from rackswitch.standins.kv import KvStandIn
from rackswitch.standins.services import (
    PlainServiceStandIn,
    ScorerStandIn,
    VmListStandIn,
    WeightStoreStandIn,
)
from rackswitch.table import (
    FleetRow,
    ModelRow,
    RouteChoice,
    RouteRow,
    Row,
    TargetRow,
    TenantRow,
    TrainerRow,
)

__all__ = [
    "ASSOCIATION",
    "CALLER_TOKEN",
    "OPERATOR_TOKEN",
    "REGISTER",
    "TRAINER_TOKEN",
    "EmbeddedFleet",
    "FleetProfile",
    "sha256_hex",
    "table_rows",
]

HOST = "127.0.0.1"
OPERATOR_TOKEN = "demo-operator"
CALLER_TOKEN = "demo-caller"
TRAINER_TOKEN = "demo-trainer"
FLEET_SECRET = "demo-fleet"


def sha256_hex(token: str) -> str:
    """Return the SHA-256 hash of a token as the table stores it."""
    return hashlib.sha256(token.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class FleetProfile:
    """Zones, models and sizes of a deployment.

    Attributes
    ----------
    model, application : str
        The model that is trained, and the one that only callers use.
    service : str
        Name of the plain service.
    """

    name: str
    zones: tuple[str, ...]
    daemons: int
    model: str
    model_engines: int
    application: str
    application_engines: int
    service: str
    zone_one_way_seconds: float


ASSOCIATION = FleetProfile(
    name="association",
    zones=("ikitelli", "kartal", "maslak", "tuzla"),
    daemons=8,
    model="layout",
    model_engines=6,
    application="intake",
    application_engines=4,
    service="conversion",
    zone_one_way_seconds=0.001,
)
REGISTER = FleetProfile(
    name="register",
    zones=("pos-a", "pos-b", "pos-c"),
    daemons=6,
    model="drafting",
    model_engines=5,
    application="filing",
    application_engines=3,
    service="returns",
    zone_one_way_seconds=0.0015,
)


@dataclass(slots=True)
class EmbeddedFleet:
    """All daemons and stand-ins of a deployment in one event loop.

    Parameters
    ----------
    profile : FleetProfile
        Profile of the deployment.
    seed : int
        Seed of all random choices.
    daemon_count : int, optional
        Number of daemons; the profile's if 0.
    """

    profile: FleetProfile
    seed: int = 1
    lease_seconds: float = 3.0
    heartbeat_seconds: float = 0.3
    poll_seconds: float = 0.03
    confirm_seconds: float = 1.0
    tokens_per_second: float = 3000.0
    daemon_count: int = 0
    kv: KvStandIn = field(init=False)
    store: WeightStoreStandIn = field(init=False)
    scorer: ScorerStandIn = field(init=False)
    vm_list: VmListStandIn = field(init=False)
    services: list[PlainServiceStandIn] = field(default_factory=list)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    daemons: dict[str, Daemon] = field(default_factory=dict)

    async def start(self) -> None:
        """Start the stand-ins, then the daemons, then write the first table."""
        self.kv = KvStandIn(HOST, 0, self.seed)
        self.store = WeightStoreStandIn(HOST, 0, self.seed)
        self.scorer = ScorerStandIn(HOST, 0, self.seed)
        self.vm_list = VmListStandIn(HOST, 0, self.seed, lag_seconds=0.2)
        for stand_in in (self.kv, self.store, self.scorer, self.vm_list):
            await stand_in.start()
        await self._start_targets()
        count = self.daemon_count or self.profile.daemons
        for number in range(count):
            await self.start_daemon(f"d{number}", number)
        await self.put_rows(table_rows(self.profile, self.targets(), count))

    async def _start_targets(self) -> None:
        profile = self.profile
        names = [f"{profile.model}-{number}" for number in range(profile.model_engines)]
        names += [
            f"{profile.application}-{number}" for number in range(profile.application_engines)
        ]
        for number, name in enumerate(names):
            model = name.rsplit("-", 1)[0]
            engine = EngineStandIn(
                name,
                model,
                HOST,
                0,
                tokens_per_second=self.tokens_per_second,
                store_url=self.store.url if model == profile.model else None,
                seed=self.seed + number,
            )
            await engine.start()
            self.engines[name] = engine
        for number in range(2):
            service = PlainServiceStandIn(HOST, 0, self.seed + number)
            await service.start()
            self.services.append(service)

    def targets(self) -> list[TargetRow]:
        """Return a row for each target."""
        zones = self.profile.zones
        rows = [
            TargetRow(
                name=name,
                url=engine.url,
                zone=zones[number % len(zones)],
                serves=name.rsplit("-", 1)[0],
            )
            for number, (name, engine) in enumerate(self.engines.items())
        ]
        rows += [
            TargetRow(
                name=f"{self.profile.service}-{number}",
                url=service.url,
                zone=zones[number],
                serves=self.profile.service,
                protocol="plain",
            )
            for number, service in enumerate(self.services)
        ]
        rows.append(
            TargetRow(
                name="scorer-0",
                url=self.scorer.url,
                zone=zones[0],
                serves="scorer",
                protocol="scorer",
            )
        )
        return rows

    async def start_daemon(self, name: str, number: int) -> Daemon:
        """Start a daemon and add its VM to the platform's list."""
        settings = DaemonSettings(
            daemon=name,
            zone=self.profile.zones[number % len(self.profile.zones)],
            kv_url=self.kv.url,
            weight_store_url=self.store.url,
            vm_list_url=self.vm_list.url,
            fleet_secret=FLEET_SECRET,
            operator_token_sha256=sha256_hex(OPERATOR_TOKEN),
            heartbeat_seconds=self.heartbeat_seconds,
            lease_seconds=self.lease_seconds,
            confirm_seconds=self.confirm_seconds,
            poll_seconds=self.poll_seconds,
            zone_one_way_seconds=self.profile.zone_one_way_seconds,
            seed=self.seed * 1000 + number,
        )
        daemon = Daemon(settings)
        await daemon.start()
        self.daemons[name] = daemon
        self.vm_list.put(
            {
                "name": name,
                "zone": settings.zone,
                "role": "daemon",
                "host": HOST,
                "peer_port": daemon.peer_port,
            }
        )
        return daemon

    def urls(self) -> list[str]:
        """Return the URLs of the present daemons."""
        return [daemon.url for daemon in self.daemons.values()]

    async def put_rows(self, rows: list[Row]) -> int:
        """Put rows through the administration API; return the accepted revision."""
        body = msgspec.json.encode({"changes": [{"row": row} for row in rows]})
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = self.urls()[0] + "/admin/v1/edits"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=body, headers=headers) as response,
        ):
            content = await response.json()
            if response.status != 200:
                raise RuntimeError(f"edit refused: {content}")
            return int(content["revision"])

    async def stop(self) -> None:
        """Crash the daemons and stop the stand-ins."""
        await asyncio.gather(*(daemon.crash() for daemon in self.daemons.values()))
        await asyncio.gather(*(engine.stop() for engine in self.engines.values()))
        await asyncio.gather(*(service.stop() for service in self.services))
        await asyncio.gather(
            self.scorer.stop(), self.store.stop(), self.vm_list.stop(), self.kv.stop()
        )

    def broken_invariants(self) -> list[str]:
        """Return the invariants that daemons found violated."""
        return [
            f"{name}: {daemon.context.violated_invariant}"
            for name, daemon in self.daemons.items()
            if daemon.context.violated_invariant is not None
        ]


def table_rows(profile: FleetProfile, targets: list[TargetRow], daemons: int) -> list[Row]:
    """Return the rows of a profile's initial table."""
    served = (profile.model, profile.application, profile.service)
    return [
        *targets,
        FleetRow(name="fleet", daemon_slots=daemons),
        ModelRow(name=profile.model),
        *(RouteRow(name=name, choices=(RouteChoice(serves=name),)) for name in served),
        TenantRow(
            name="counter",
            key_sha256=(sha256_hex(CALLER_TOKEN),),
            caller_class=2,
            rate_per_second=5000,
            concurrency=5000,
        ),
        TrainerRow(
            name="nightly",
            token_sha256=sha256_hex(TRAINER_TOKEN),
            model=profile.model,
            concurrency=32,
            staleness_bound_versions=2,
            scorer="scorer",
        ),
    ]
