"""Client of the platform's VM list, which lags behind the actual state."""

from dataclasses import dataclass

import msgspec

from rackswitch.clients.http import CallFailed, HttpSessions, call_json
from rackswitch.membership import VmEntry

__all__ = ["VmList", "VmListClient", "VmListUnavailable"]

CALL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class VmList:
    """The VMs of daemons, and the names of targets whose VM is leaving."""

    daemons: tuple[VmEntry, ...]
    leaving_targets: frozenset[str]


@dataclass(frozen=True, slots=True)
class VmListUnavailable:
    """Reading the VM list failed."""

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
        url = self._url + "/vms"
        wire = await call_json(self._sessions.pooled, "GET", url, _WireVms, CALL_TIMEOUT_SECONDS)
        if isinstance(wire, CallFailed):
            return VmListUnavailable(wire.detail)
        daemons = tuple(
            VmEntry(vm.name, vm.host, vm.peer_port, vm.zone, vm.state == "leaving")
            for vm in wire.vms
            if vm.role == "daemon"
        )
        leaving = frozenset(
            vm.name for vm in wire.vms if vm.role == "target" and vm.state == "leaving"
        )
        return VmList(daemons, leaving)
