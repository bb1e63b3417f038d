"""Gateways and stand-ins for the operator platform in one process."""

import asyncio
import socket
from base64 import b64encode
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import aiohttp
import msgspec

from rackswitch.gateway.core import Gateway
from rackswitch.gateway.policy import PolicySettings
from rackswitch.platform.settings import Address, DutySettings, NodeSettings
from rackswitch.standins.loopback import own_loopback_host
from rackswitch.standins.platform_api import PlatformApiStandIn
from rackswitch.standins.platform_store import PlatformStoreStandIn
from rackswitch.standins.platform_target import PlatformTargetStandIn

__all__ = [
    "HOST",
    "MODEL",
    "RESULTS_PATH",
    "VERSION_PREFIX",
    "ResultsPage",
    "PlatformFleet",
    "desired_state",
    "job_body",
    "stand_in_settings",
]

HOST = "site.example"
MODEL = "m0"
VERSION_PREFIX = "op/version/"
RESULTS_PATH = "/rackswitch/lots/"
READY_TIMEOUT_SECONDS = 10.0


def free_port(host: str) -> int:
    """Return an unused port of a local address."""
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()[1]


def stand_in_settings(name: str, kv_url: str = "") -> NodeSettings:
    """Return settings with typical limits and no listening addresses."""
    return NodeSettings(
        daemon=name,
        machine_class="front",
        host="127.0.0.1",
        zone="z",
        callers=None,
        readiness=None,
        metrics=None,
        peer_ports=(1, 2),
        kv_url=kv_url,
        kv_most_value_bytes=1_048_576,
        lease_least_seconds=1.0,
        stop_grace_seconds=8.0,
        order_turn_seconds=3.0,
        keep_results_seconds=120.0,
    )


def desired_state(version: int, **changes: Any) -> dict[str, Any]:
    """Return a desired state in the operator's format."""
    common_fields = {"host": HOST, "timeout_ms": 1500, "goal_ms": 200, "priority": 2}
    plain_route = {**common_fields, "service": "desk"}
    routes = [
        {
            **plain_route,
            "name": "lookup",
            "path_prefix": "/look/",
            "kind": "safe",
            "max_attempts": 3,
        },
        {
            **plain_route,
            "name": "lodge",
            "path_prefix": "/lodge/",
            "kind": "unsafe",
            "max_attempts": 2,
        },
        {
            **common_fields,
            "name": "samples",
            "path_prefix": "/jobs/",
            "kind": "rollout",
            "service": "engines",
            "max_attempts": 3,
            "run_target_ms": 7500,
            "keep_s": 40,
        },
    ]
    engine = {"slots": 4, "models": [{"name": MODEL}]}
    state = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "max_conns": 50},
            {"name": "engines", "max_conns": 50, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 4000,
            "max_body_bytes": 200_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }
    return {**state, **changes}


def job_body(job_id: str, pieces: list[int], oldest_version: int = 1) -> bytes:
    """Return the submission of a job with one item per number of pieces."""
    items = [
        {
            "id": f"{job_id}-{number}",
            "path": f"/jobs/{number}",
            "headers": {"X-Rackswitch-Model": MODEL, "X-Rackswitch-Length-Hint": str(count)},
            "body": b64encode(str(count).encode()).decode(),
            "tokens": 10,
            "group": f"g{number // 2}",
            "scorer": {
                "id": f"{job_id}-score-{number}",
                "host": HOST,
                "path": "/look/score",
                "body": b64encode(b"score").decode(),
            },
        }
        for number, count in enumerate(pieces)
    ]
    job = {
        "step": 1,
        "model": MODEL,
        "min_version": oldest_version,
        "desired_count": 1,
        "items": items,
    }
    return msgspec.json.encode(job)


@dataclass(slots=True)
class ResultsPage:
    """A page of job results."""

    status: int
    total: int = 0
    results: list[dict[str, Any]] = field(default_factory=list)


class PlatformFleet:
    """A platform's store, targets and gateways on loopback.

    Parameters
    ----------
    daemons, engines, services : int
        Number of gateways, engines and plain services.
    policy : PolicySettings, optional
        Optional mechanisms of the gateways; all enabled by default.
    usage_window_seconds : float
        Length of a usage reporting window; 0 disables reports.
    order_turn_seconds : float
        Minimum time between the orders of two holders of a role.

    Attributes
    ----------
    key : str
        API key sent with requests from now on; empty for none.
    """

    def __init__(
        self,
        daemons: int = 2,
        engines: int = 2,
        services: int = 2,
        policy: PolicySettings | None = None,
        usage_window_seconds: float = 0.0,
        order_turn_seconds: float = 0.5,
    ):
        self._policy = policy
        self._window_seconds = usage_window_seconds
        self._order_turn_seconds = order_turn_seconds
        self.api = PlatformApiStandIn()
        self.store = PlatformStoreStandIn()
        self.key = ""
        self.engines = [
            PlatformTargetStandIn(f"e{number}", "engines", self.store, (MODEL,))
            for number in range(engines)
        ]
        self.services = [
            PlatformTargetStandIn(f"s{number}", "desk", self.store) for number in range(services)
        ]
        self.gateways: dict[str, Gateway] = {}
        self._names = [f"d{number}" for number in range(daemons)]
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start everything and wait until every gateway is ready."""
        self._session = aiohttp.ClientSession(auto_decompress=False)
        await self.store.start()
        await self.api.start()
        self.store.put("op/config", desired_state(1))
        for target in (*self.engines, *self.services):
            await target.start()
        for name in self._names:
            await self.start_gateway(name)
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not all(self._is_ready(gateway) for gateway in self.gateways.values()):
                await asyncio.sleep(0.02)

    def _is_ready(self, gateway: Gateway) -> bool:
        members = gateway.context.daemon.membership.live()
        lease_is_held = gateway.presence.is_valid()
        return gateway.replicas.is_complete and lease_is_held and len(members) == len(self._names)

    async def start_gateway(self, name: str, log_descriptor: int | None = None) -> Gateway:
        """Start a gateway, replacing any earlier one of the same name."""
        host = own_loopback_host()
        port = free_port(host)
        settings = replace(
            stand_in_settings(name, f"http://{self.store.address}"),
            host=host,
            callers=Address("127.0.0.1", 0),
            readiness=Address("127.0.0.1", 0),
            peer_ports=(port, port),
            order_turn_seconds=self._order_turn_seconds,
            duties=self._duties(),
        )
        gateway = Gateway(settings, log_descriptor, self._policy)
        await gateway.start()
        self.gateways[name] = gateway
        return gateway

    def _duties(self) -> DutySettings | None:
        if not self._window_seconds:
            return None
        return DutySettings(
            url=self.api.url,
            reports_usage=True,
            orders_engines=False,
            calls_per_second=50.0,
            window_seconds=self._window_seconds,
            late_seconds=2 * self._window_seconds,
        )

    async def stop(self) -> None:
        """Stop all gateways and stand-ins."""
        for gateway in self.gateways.values():
            await gateway.crash()
        for target in (*self.engines, *self.services):
            await target.crash()
        await self.store.stop()
        await self.api.stop()
        if self._session is not None:
            await self._session.close()

    async def request(
        self,
        daemon: str,
        method: str,
        path: str,
        body: bytes = b"",
        request_id: str = "r1",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 1500,
        host: str = HOST,
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Send a request as a caller; return status, headers and body."""
        assert self._session is not None
        request_headers = {
            "Host": host,
            "X-Rackswitch-Deadline-Ms": str(deadline_ms),
            **({"X-Rackswitch-Request-Id": request_id} if request_id else {}),
            **({"Authorization": f"Bearer {self.key}"} if self.key else {}),
            **(headers or {}),
        }
        url = self.gateways[daemon].url + path
        async with self._session.request(
            method, url, data=body or None, headers=request_headers
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    async def submit(
        self, daemon: str, job_id: str, pieces: list[int], oldest_version: int = 1
    ) -> int:
        """Submit a job with one item per number of pieces; return the status."""
        body = job_body(job_id, pieces, oldest_version)
        status, _, _ = await self.request(daemon, "POST", "/jobs/new", body, job_id)
        return status

    async def operate(self, state: dict[str, Any]) -> None:
        """Write a desired state and wait until every gateway has applied it."""
        self.store.put("op/config", state)
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while any(
                gateway.context.table_revision < state["version"]
                for gateway in self.gateways.values()
            ):
                await asyncio.sleep(0.01)

    async def move_to_zone(self, target: PlatformTargetStandIn, zone: str) -> None:
        """List a target in another zone and wait until every gateway knows it there."""
        target.zone = zone
        target.list_itself()
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while any(
                gateway.context.directory.entries[target.instance].zone != zone
                for gateway in self.gateways.values()
            ):
                await asyncio.sleep(0.01)

    def name_version(self, version: int) -> None:
        """Publish a version of the model as its trainer."""
        self.store.put(VERSION_PREFIX + MODEL, {"model": MODEL, "version": version})

    async def end_job(self, daemon: str, job_id: str) -> int:
        """End a job; return the status."""
        status, _, _ = await self.request(daemon, "DELETE", f"{RESULTS_PATH}{job_id}")
        return status

    async def read(
        self, daemon: str, job_id: str, position: int = 0, wait_ms: int = 0
    ) -> ResultsPage:
        """Read a job's results once."""
        status, _, body = await self.request(
            daemon,
            "GET",
            f"{RESULTS_PATH}{job_id}?since_rev={position}",
            headers={"X-Rackswitch-Wait-Ms": str(wait_ms)},
        )
        if status != 200:
            return ResultsPage(status)
        page = msgspec.json.decode(body)
        assert page["next_token"] == position + len(page["results"])
        return ResultsPage(200, page["total"], page["results"])

    async def read_all(
        self, daemon: str, job_id: str, timeout_seconds: float = 10.0
    ) -> list[dict[str, Any]]:
        """Read results until the job is complete."""
        results: list[dict[str, Any]] = []
        async with asyncio.timeout(timeout_seconds):
            while True:
                page = await self.read(daemon, job_id, len(results), wait_ms=500)
                results += page.results
                if page.status == 200 and len(results) == page.total:
                    return results
                await asyncio.sleep(0.02)
