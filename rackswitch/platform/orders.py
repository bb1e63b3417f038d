"""Reads engines' reports and orders engines to load weights."""

import asyncio
from dataclasses import dataclass
from enum import Enum

import aiohttp
import msgspec
from yarl import URL

from rackswitch.clients.bodies import read_body
from rackswitch.clients.http import NOT_SENT_ERRORS, error_name
from rackswitch.decoding import Undecodable, decode_json
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.loaded_models import Count, WireLoadedModel, versions_of
from rackswitch.platform.names import EXPECT_INSTANCE_HEADER
from rackswitch.routing import ListedTarget

__all__ = ["EngineReport", "NoReport", "OrderAnswer", "OrderClient", "VersionOrder"]

REPORT_TIMEOUT_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of its state, which may be some hundred milliseconds old.

    Attributes
    ----------
    orders_taken : int
        Orders accepted since its start; an order that names another number is rejected.
    memory_used_tokens, memory_total_tokens : int
        Memory that cannot be evicted, and the total; the total is 0 if not reported.
    """

    versions: dict[str, int]
    is_loading: bool
    orders_taken: int
    waiting: int
    running: int
    memory_used_tokens: int = 0
    memory_total_tokens: int = 0


@dataclass(frozen=True, slots=True)
class NoReport:
    """Why there is no report of an engine."""

    detail: str


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to load a version.

    Attributes
    ----------
    holder, fencing : str, int
        The daemon that sends the order, and the fencing number of its role.
    orders_taken : int
        Orders that the engine has accepted according to its last report.
    continues_runs : bool
        Whether the engine's runs continue with the new weights; otherwise the engine waits for
        their ends before it loads.
    """

    model: str
    version: int
    holder: str
    fencing: int
    orders_taken: int
    continues_runs: bool


class OrderAnswer(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "taken"
    ALREADY_LOADED = "holds already"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class _WireReport(msgspec.Struct):
    # Orders accepted since the engine's start; in the list of targets, `seq` counts heartbeats.
    seq: Count = 0
    # True while an order is being executed, independent of the number of requests.
    busy: bool = False
    waiting: Count = 0
    running: Count = 0
    # In tokens; `kv_used` excludes what can be evicted.
    kv_used: Count = 0
    kv_total: Count = 0
    models: list[WireLoadedModel] = []
    # Start of the engine in Unix time; 0 for older engines, which do not report it.
    born: Count = 0


class OrderClient:
    """Client of engines for their reports and for orders.

    Parameters
    ----------
    sessions : TargetSessions
        Connections to use.
    """

    __slots__ = ("_sessions",)

    def __init__(self, sessions: TargetSessions):
        self._sessions = sessions

    async def report(self, target: ListedTarget) -> EngineReport | NoReport:
        """Read an engine's report."""
        url = URL(target.url + "/rackswitch/report", encoded=True)
        headers = {EXPECT_INSTANCE_HEADER: target.instance}
        try:
            async with (
                asyncio.timeout(REPORT_TIMEOUT_SECONDS),
                self._sessions.pooled.get(url, headers=headers, trace_request_ctx=target) as answer,
            ):
                self._sessions.record_load_report(target, answer)
                content = await read_body(answer)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return NoReport(error_name(error))
        if answer.status != 200:
            return NoReport(f"status {answer.status}")
        wire = decode_json(content, _WireReport)
        if isinstance(wire, Undecodable):
            return NoReport(f"cannot read the report: {wire.detail}")
        if wire.born and target.started_at_unix_ms and wire.born != target.started_at_unix_ms:
            # After a restart the order count begins at 0, and the listed weights do not apply.
            return NoReport("another start has its identity")
        return EngineReport(
            versions=versions_of(wire.models),
            is_loading=wire.busy,
            orders_taken=wire.seq,
            waiting=wire.waiting,
            running=wire.running,
            memory_used_tokens=wire.kv_used,
            memory_total_tokens=wire.kv_total,
        )

    async def order_version(
        self,
        target: ListedTarget,
        order: VersionOrder,
    ) -> OrderAnswer:
        """Order an engine to load a version.

        The order names the engine's instance and the number of orders it has accepted, so that
        a delayed order, or one that arrives after a restart, has no effect.
        """
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": "keep" if order.continues_runs else "wait",
            "holder": order.holder,
            "fence": order.fencing,
            "expected": order.orders_taken,
        }
        headers = {
            EXPECT_INSTANCE_HEADER: target.instance,
            "Content-Type": "application/json",
        }
        url = URL(target.url + "/rackswitch/order", encoded=True)
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_SECONDS),
                self._sessions.single_use.post(
                    url, data=msgspec.json.encode(body), headers=headers
                ) as answer,
            ):
                await read_body(answer)
        except NOT_SENT_ERRORS:
            return OrderAnswer.REFUSED
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderAnswer.UNKNOWN
        if answer.status == 202:
            return OrderAnswer.ACCEPTED
        return OrderAnswer.ALREADY_LOADED if answer.status == 200 else OrderAnswer.REFUSED
