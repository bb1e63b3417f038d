"""Builds the part of the context that is shared with stand-alone daemons."""

import random
import time
from dataclasses import dataclass

from rackswitch.clients.http import HttpSessions
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.settings import DaemonSettings
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.store.store_relay import RelayTransport
from rackswitch.membership import Membership, MemberState, MemberUpdate
from rackswitch.peers.links import PeerLinks
from rackswitch.platform.settings import NodeSettings
from rackswitch.platform.store import PROTOCOL_NAME, PlatformKvClient
from rackswitch.platform.store_calls import HttpTransport
from rackswitch.table import TableView
from rackswitch.telemetry import DecisionLog, Telemetry

__all__ = ["DaemonParts", "make_daemon_context"]

ROLE_LEASE_SECONDS = 2.0
"""TTL of a role's lease. A new holder waits for its expiry and then for the turn that the platform
requires between the orders of two holders."""


@dataclass(frozen=True, slots=True)
class DaemonParts:
    """A daemon's context and its transports to the key-value service.

    Attributes
    ----------
    direct : HttpTransport
        Direct transport to the service.
    relay : RelayTransport
        Transport used by the context's client; chooses between the direct one and peers.
    """

    context: DaemonContext
    direct: HttpTransport
    relay: RelayTransport


def make_daemon_context(
    settings: NodeSettings,
    rng: random.Random,
    log_descriptor: int | None,
    policy: PolicySettings,
) -> DaemonParts:
    """Return the context of a daemon that has not started.

    Addresses of services that exist only in the stand-alone deployment are left empty.
    """
    sessions = HttpSessions()
    telemetry = Telemetry(settings.daemon)
    own_member = MemberUpdate(
        settings.daemon,
        settings.host,
        settings.peer_ports[0],
        settings.zone,
        int(time.time() * 1000),
        MemberState.ALIVE,
    )
    membership = Membership(own_member, 1.0, rng)
    log = DecisionLog(settings.daemon, log_descriptor, telemetry.events.count)
    links = PeerLinks("")
    direct = HttpTransport(settings.kv_url, sessions)
    view = TableView()
    relay = RelayTransport(
        direct,
        links,
        membership,
        log,
        policy.calls_through_peers,
        settings.region_of_zone,
        lambda: view.restricts_regions,
    )
    context = DaemonContext(
        settings=DaemonSettings(
            daemon=settings.daemon,
            zone=settings.zone,
            host=settings.host,
            kv_url=settings.kv_url,
            kv_protocol=PROTOCOL_NAME,
            weight_store_url="",
            vm_list_url="",
            fleet_secret="",
            operator_token_sha256="",
            lease_seconds=max(ROLE_LEASE_SECONDS, settings.lease_least_seconds),
        ),
        sessions=sessions,
        kv=PlatformKvClient(relay),
        links=links,
        view=view,
        membership=membership,
        telemetry=telemetry,
        log=log,
        rng=rng,
    )
    return DaemonParts(context, direct, relay)
