"""The platform's lagging list of live and leaving VMs."""

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec

from rackswitch.membership import VmEntry
from rackswitch.platform.http import HttpSessions

__all__ = ["VmList", "VmListClient", "VmListUnavailable"]

CALL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class VmList:
    """The daemons' VMs, and the names of targets whose VM is leaving."""

    daemons: tuple[VmEntry, ...]
    leaving_targets: frozenset[str]


@dataclass(frozen=True, slots=True)
class VmListUnavailable:
    """The list cannot be read now."""

    detail: str


class _WireVm(msgspec.Struct, frozen=True):
    name: str
    zone: str
    role: str
    state: str = "live"
    host: str = "127.0.0.1"
    peer_port: int = 0


class _WireVms(msgspec.Struct, frozen=True):
    vms: list[_WireVm]


class VmListClient:
    """Client of the platform's VM list.

    Parameters
    ----------
    url : str
        The list's address.
    sessions : HttpSessions
        Connections to use.
    """

    __slots__ = ("_sessions", "_url")

    def __init__(self, url: str, sessions: HttpSessions):
        self._url = url
        self._sessions = sessions

    async def read(self) -> VmList | VmListUnavailable:
        """Read the list."""
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_SECONDS),
                self._sessions.pooled.get(self._url + "/vms") as answer,
            ):
                wire = msgspec.json.decode(await answer.read(), type=_WireVms)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            return VmListUnavailable(type(error).__name__)
        daemons = tuple(
            VmEntry(vm.name, vm.host, vm.peer_port, vm.zone, vm.state == "leaving")
            for vm in wire.vms
            if vm.role == "daemon"
        )
        leaving = frozenset(
            vm.name for vm in wire.vms if vm.role == "target" and vm.state == "leaving"
        )
        return VmList(daemons, leaving)
