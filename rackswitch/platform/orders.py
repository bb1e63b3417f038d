"""What the platform's engines say about themselves, and orders to load weights."""

import asyncio
from dataclasses import dataclass
from enum import Enum

import aiohttp
import msgspec
from yarl import URL

from rackswitch.clients.http import NOT_SENT_ERRORS
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.loaded_models import Count, WireLoadedModel, versions_of
from rackswitch.platform.names import EXPECT_INSTANCE_HEADER
from rackswitch.routing import ListedTarget

__all__ = ["EngineReport", "NoReport", "OrderAnswer", "OrderClient", "VersionOrder"]

REPORT_TIMEOUT_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's own word about itself, some hundred milliseconds old.

    Attributes
    ----------
    orders_taken : int
        Orders since its start; an order that names another number is not carried out.
    """

    versions: dict[str, int]
    is_loading: bool
    orders_taken: int
    waiting: int
    running: int


@dataclass(frozen=True, slots=True)
class NoReport:
    """The engine did not tell."""

    detail: str


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to load a version.

    Attributes
    ----------
    holder, fencing : str, int
        The daemon that orders, and the fencing number of its role.
    orders_taken : int
        How many orders the engine has taken, by its last report.
    runs_go_on : bool
        Whether the engine's runs go on under the new weights; else it waits for their ends
        before it loads.
    """

    model: str
    version: int
    holder: str
    fencing: int
    orders_taken: int
    runs_go_on: bool


class OrderAnswer(Enum):
    """How an engine answered an order."""

    TAKEN = "taken"
    HOLDS_ALREADY = "holds already"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class _WireReport(msgspec.Struct):
    # Orders taken since the engine's start; in the platform's list the same name counts
    # heartbeats.
    seq: Count = 0
    # True while an order is carried out, whatever the number of requests.
    busy: bool = False
    waiting: Count = 0
    running: Count = 0
    models: list[WireLoadedModel] = []
    # When the engine started, in Unix time; older ones do not tell.
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
        """Read what an engine says about itself."""
        url = URL(target.url + "/rackswitch/report", encoded=True)
        headers = {EXPECT_INSTANCE_HEADER: target.instance}
        try:
            async with (
                asyncio.timeout(REPORT_TIMEOUT_SECONDS),
                self._sessions.kept.get(url, headers=headers) as answer,
            ):
                self._sessions.heard_load(target, answer)
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return NoReport(type(error).__name__)
        if answer.status != 200:
            return NoReport(f"status {answer.status}")
        try:
            wire = msgspec.json.decode(content, type=_WireReport)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return NoReport(f"cannot read the report: {error}")
        if wire.born and target.started_at_unix_ms and wire.born != target.started_at_unix_ms:
            # Its orders are counted anew, and its weights are others than the listed ones.
            return NoReport("another start has its identity")
        return EngineReport(
            versions=versions_of(wire.models),
            is_loading=wire.busy,
            orders_taken=wire.seq,
            waiting=wire.waiting,
            running=wire.running,
        )

    async def order_version(
        self,
        target: ListedTarget,
        order: VersionOrder,
    ) -> OrderAnswer:
        """Order an engine to load a version.

        The order names the engine's instance and the number of orders it has taken, so
        that one which arrives late or after a restart has no effect.
        """
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": "keep" if order.runs_go_on else "wait",
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
                await answer.read()
        except NOT_SENT_ERRORS:
            return OrderAnswer.REFUSED
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderAnswer.UNKNOWN
        if answer.status == 202:
            return OrderAnswer.TAKEN
        return OrderAnswer.HOLDS_ALREADY if answer.status == 200 else OrderAnswer.REFUSED
