"""Settings of the daemon."""

from typing import Annotated

import msgspec

from rackswitch.clients.kv import KV_CLIENTS
from rackswitch.routing import POLICIES
from rackswitch.settings import Settings

__all__ = ["DaemonSettings", "FreshnessSettings"]

Seconds = Annotated[float, msgspec.Meta(gt=0)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
UNCONFIRMED_TABLE_POLICIES = ("serve", "refuse")


class FreshnessSettings(Settings, frozen=True, kw_only=True):
    """How a daemon behaves while no source confirms its table."""

    bound_seconds: Annotated[
        Seconds, msgspec.Meta(description="How long a confirmation of the table is trusted.")
    ] = 10.0
    callers: Annotated[
        str,
        msgspec.Meta(description="'serve' or 'refuse' callers while the table is unconfirmed."),
    ] = "serve"
    trainers: Annotated[
        str,
        msgspec.Meta(description="'serve' or 'refuse' draws while the table is unconfirmed."),
    ] = "refuse"

    def contradiction(self) -> str | None:
        """Return a message about settings that contradict each other, or None."""
        for name, value in (("callers", self.callers), ("trainers", self.trainers)):
            if value not in UNCONFIRMED_TABLE_POLICIES:
                return f"`$.{name}` is {value!r}; allowed: {', '.join(UNCONFIRMED_TABLE_POLICIES)}"
        return None


class DaemonSettings(Settings, frozen=True, kw_only=True):
    """All settings of one daemon."""

    daemon: Annotated[str, msgspec.Meta(description="This daemon's name.", min_length=1)]
    zone: Annotated[str, msgspec.Meta(description="The daemon's availability zone.", min_length=1)]
    host: Annotated[str, msgspec.Meta(description="Address to listen on.")] = "127.0.0.1"
    port: Annotated[Port, msgspec.Meta(description="HTTP port; 0 selects a free one.")] = 0
    peer_port: Annotated[Port, msgspec.Meta(description="Port for the other daemons.")] = 0
    kv_url: Annotated[str, msgspec.Meta(description="URL of the key-value service.")]
    kv_protocol: Annotated[str, msgspec.Meta(description="Protocol of the key-value service.")] = (
        "etcd-json"
    )
    weight_store_url: Annotated[str, msgspec.Meta(description="URL of the weight store.")]
    vm_list_url: Annotated[str, msgspec.Meta(description="URL of the platform's VM list.")]
    fleet_secret: Annotated[
        str,
        msgspec.Meta(description="Shared secret with which the daemons authenticate each other."),
    ]
    operator_token_sha256: Annotated[
        str,
        msgspec.Meta(description="SHA-256 hash of an administrator token that is always accepted."),
    ]
    routing_policy: Annotated[str, msgspec.Meta(description="Name of the routing policy.")] = (
        "prefix_home"
    )
    freshness: FreshnessSettings = FreshnessSettings()
    heartbeat_seconds: Annotated[
        Seconds, msgspec.Meta(description="Interval between heartbeats.")
    ] = 1.0
    confirm_seconds: Annotated[
        Seconds, msgspec.Meta(description="Interval between a watcher's reads of the table.")
    ] = 2.0
    watchers_per_zone: Annotated[
        int,
        msgspec.Meta(
            ge=1, description="Number of daemons of a zone that watch the key-value service."
        ),
    ] = 1
    lease_seconds: Annotated[Seconds, msgspec.Meta(description="TTL of a role's lease.")] = 6.0
    poll_seconds: Annotated[
        Seconds, msgspec.Meta(description="Interval between the polls of two engines.")
    ] = 1.0
    polled_targets: Annotated[
        int,
        msgspec.Meta(
            ge=1, description="Maximum number of targets of one model that this daemon uses."
        ),
    ] = 16
    rollout_partitions: Annotated[
        int, msgspec.Meta(ge=1, description="Number of leased partitions of a model's roll-out.")
    ] = 1
    zone_one_way_seconds: Annotated[
        float, msgspec.Meta(ge=0, description="One-way network delay between zones.")
    ] = 0.001
    claim_life_seconds: Annotated[
        Seconds,
        msgspec.Meta(description="Minimum time for which an idempotency key is remembered."),
    ] = 21600.0
    most_body_bytes: Annotated[
        int, msgspec.Meta(ge=1, description="Maximum size of a request body.")
    ] = 4_000_000
    most_connections: Annotated[
        int, msgspec.Meta(ge=1, description="Maximum number of concurrent connections.")
    ] = 4096
    seed: Annotated[
        int, msgspec.Meta(description="Seed of random choices; 0 selects a random seed.")
    ] = 0

    def contradiction(self) -> str | None:
        """Return a message about settings that contradict each other, or None."""
        if self.routing_policy not in POLICIES.names():
            known = ", ".join(POLICIES.names())
            return f"`$.routing_policy` is {self.routing_policy!r}; allowed: {known}"
        if self.kv_protocol not in KV_CLIENTS.names():
            known = ", ".join(KV_CLIENTS.names())
            return f"`$.kv_protocol` is {self.kv_protocol!r}; allowed: {known}"
        if self.confirm_seconds >= self.freshness.bound_seconds:
            return "`$.confirm_seconds` must be below `$.freshness.bound_seconds`"
        return None
