"""Reads the settings file that the platform provides to each process."""

import os
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from rackswitch.decoding import DECODE_ERRORS
from rackswitch.platform.names import SETTINGS_VARIABLE
from rackswitch.settings import SettingsFault

__all__ = ["METRICS_PATH", "Address", "DutySettings", "NodeSettings", "read_node_settings"]

USAGE_DUTY = "usage"
SCALE_DUTY = "autoscale"
"""Names, in the settings file, of the calls that one daemon of the fleet makes."""

SATURATION_CONTRACT = "pressure"
"""Name, in the settings file, of the rule that callers may exceed the capacity."""

METRICS_PORT = 9464
METRICS_PATH = "/metrics"
"""As `deploy/system.toml` states; the port is the default of OpenTelemetry's Prometheus
exporters."""


@dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or to connect to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class DutySettings:
    """The operators' API, and the calls that one daemon of the fleet makes to it.

    Attributes
    ----------
    reports_usage, orders_engines : bool
        Which calls to make.
    calls_per_second : float
        Rate limit of the API for all daemons together.
    window_seconds, late_seconds : float
        Length of a usage window, and how long after its end a report is accepted.
    """

    url: str
    reports_usage: bool
    orders_engines: bool
    calls_per_second: float
    window_seconds: float
    late_seconds: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a daemon: its VM, its addresses and its limits.

    Attributes
    ----------
    daemon : str
        Name of the VM, and therefore of the only daemon on it.
    callers, readiness : Address or None
        Where to listen for callers, and for the load balancer's readiness checks; None on VMs
        that callers do not reach.
    metrics : Address or None
        Where the daemon's metrics are served; None if they are not.
    peer_ports : (int, int)
        First and last port of the range for calls between daemons.
    stop_grace_seconds : float
        Time from the stop signal until the process is killed.
    order_turn_seconds : float
        Minimum time between the last order of one holder and the first of the next.
    kv_most_value_bytes : int
        Maximum size of a value in the key-value service.
    keep_results_seconds : float
        How long after its submission a batch job's results can be read.
    processor_share : float
        Fraction of a processor that the VM has; 0 if the file does not state it.
    duties : DutySettings or None
        Calls to make to the operators' API; None for none.
    drain_seconds : float
        Minimum time that a draining target still serves; 0 if the file does not state it.
    queues_calls : bool
        Whether callers may exceed the capacity, so that calls are queued here and those that
        cannot be served are refused at once.
    region : str
        Region of the VM; empty if the file does not state it.
    region_of_zone : dict of str to str
        The region of each availability zone; empty for a deployment without regions.
    memory_mb, link_mbps : float
        Memory of the process and bandwidth of the VM's network link; 0 if the file does not state
        them.
    cold_rate_factor, cold_rate_slack : float
        The requests that a cold target may receive within any second are its service's cold rate
        times the factor, plus the slack.
    """

    daemon: str
    machine_class: str
    host: str
    zone: str
    callers: Address | None
    readiness: Address | None
    metrics: Address | None
    peer_ports: tuple[int, int]
    kv_url: str
    kv_most_value_bytes: int
    lease_least_seconds: float
    stop_grace_seconds: float
    order_turn_seconds: float
    keep_results_seconds: float
    processor_share: float = 0.0
    duties: DutySettings | None = None
    drain_seconds: float = 0.0
    queues_calls: bool = False
    region: str = ""
    region_of_zone: dict[str, str] = field(default_factory=dict)
    memory_mb: float = 0.0
    link_mbps: float = 0.0
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0


class _WireListen(msgspec.Struct):
    front: str | None = None
    ready: str | None = None


class _WireBounds(msgspec.Struct):
    grace_s: float = 8.0
    lease_ms: float = 3000.0
    drain_ms: float = 0.0
    status_s: float = 120.0
    report_window_s: float = 5.0
    usage_late_s: float = 10.0
    cold_over: float = 1.0
    cold_slack: float = 0.0


class _WirePlatform(msgspec.Struct):
    address: str
    value_bytes: int = 1_048_576
    ttl_min_ms: float = 1000.0


class _WireCloud(msgspec.Struct):
    address: str
    duties: list[str] = []
    duty_per_s: float = 10.0


class _WireLimits(msgspec.Struct):
    cpu_share: float = 0.0
    memory_mb: float = 0.0
    link_mbps: float = 0.0


class _WireSettings(msgspec.Struct):
    node: str
    ip: str
    zone: str
    platform: _WirePlatform
    machine_class: str = ""
    region: str = ""
    zones: dict[str, str] = {}
    listen: _WireListen = msgspec.field(default_factory=_WireListen)
    # The first and last port of a range, not a list of ports.
    internal_ports: list[int] = msgspec.field(default_factory=list)
    bounds: _WireBounds = msgspec.field(default_factory=_WireBounds)
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    contracts: list[str] = msgspec.field(default_factory=list)
    cloud: _WireCloud | None = None


def read_node_settings(path: str | None = None) -> NodeSettings | SettingsFault:
    """Read and check the settings file.

    Parameters
    ----------
    path : str, optional
        The file; by default the one that the environment variable of the platform names.

    Returns
    -------
    NodeSettings or SettingsFault
        The settings, or a one-line message with file, field and fault.
    """
    if path is None:
        path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        return SettingsFault(f"the environment variable {SETTINGS_VARIABLE} is not set")
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        return SettingsFault(f"{path}: cannot be read: {error.strerror}")
    try:
        wire = msgspec.yaml.decode(content, type=_WireSettings)
        return _node_settings(wire)
    except DECODE_ERRORS as error:
        return SettingsFault(f"{path}: {error}")
    except ValueError as error:
        return SettingsFault(f"{path}: {error}")


def _node_settings(wire: _WireSettings) -> NodeSettings:
    ports = wire.internal_ports
    if len(ports) != 2:
        raise ValueError(f"`$.internal_ports` must hold two numbers (found {ports!r})")
    return NodeSettings(
        daemon=wire.node,
        machine_class=wire.machine_class,
        host=wire.ip,
        zone=wire.zone,
        callers=_address("listen.front", wire.listen.front),
        readiness=_address("listen.ready", wire.listen.ready),
        metrics=Address(wire.ip, METRICS_PORT),
        peer_ports=(ports[0], ports[1]),
        kv_url=f"http://{wire.platform.address}",
        kv_most_value_bytes=wire.platform.value_bytes,
        lease_least_seconds=wire.platform.ttl_min_ms / 1000,
        stop_grace_seconds=wire.bounds.grace_s,
        order_turn_seconds=wire.bounds.lease_ms / 1000,
        keep_results_seconds=wire.bounds.status_s,
        processor_share=wire.limits.cpu_share,
        duties=_duty_settings(wire),
        drain_seconds=max(0.0, wire.bounds.drain_ms / 1000),
        queues_calls=SATURATION_CONTRACT in wire.contracts,
        region=wire.region,
        region_of_zone=wire.zones,
        memory_mb=max(0.0, wire.limits.memory_mb),
        link_mbps=max(0.0, wire.limits.link_mbps),
        cold_rate_factor=max(0.0, wire.bounds.cold_over),
        cold_rate_slack=max(0.0, wire.bounds.cold_slack),
    )


def _duty_settings(wire: _WireSettings) -> DutySettings | None:
    cloud = wire.cloud
    if cloud is None or not {USAGE_DUTY, SCALE_DUTY}.intersection(cloud.duties):
        return None
    if wire.bounds.report_window_s <= 0:
        raise ValueError("`$.bounds.report_window_s` must be above 0")
    return DutySettings(
        url=f"http://{cloud.address}",
        reports_usage=USAGE_DUTY in cloud.duties,
        orders_engines=SCALE_DUTY in cloud.duties,
        calls_per_second=cloud.duty_per_s,
        window_seconds=wire.bounds.report_window_s,
        late_seconds=wire.bounds.usage_late_s,
    )


def _address(name: str, text: str | None) -> Address | None:
    if text is None:
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"`$.{name}` must be HOST:PORT (found {text!r})")
    return Address(host, int(port))
