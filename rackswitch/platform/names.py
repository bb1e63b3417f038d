"""Headers, paths and keys of the platform."""

__all__ = [
    "AUTHORIZATION_HEADER",
    "CONFIG_KEY",
    "DEADLINE_HEADER",
    "DUTY_HOLDER_HEADER",
    "EVACUATE_PREFIX",
    "EXPECT_INSTANCE_HEADER",
    "FENCING_HEADER",
    "LAST_EVENT_HEADER",
    "LENGTH_HINT_HEADER",
    "TOKEN_COUNTS_HEADER",
    "NOT_RUN_HEADER",
    "OPERATOR_PREFIX",
    "REQUEST_ID_HEADER",
    "RETIRE_PREFIX",
    "RETIRE_STATUS_PREFIX",
    "SERVERS_PREFIX",
    "SERVER_LOAD_HEADER",
    "SETTINGS_VARIABLE",
    "STAMP_HEADER",
    "TENANT_HEADER",
    "URGENCY_HEADER",
    "VERSION_PREFIX",
    "VERSIONS_HEADER",
    "WAIT_HEADER",
]

SETTINGS_VARIABLE = "RACKSWITCH_BOOT"

REQUEST_ID_HEADER = "X-Rackswitch-Request-Id"
DEADLINE_HEADER = "X-Rackswitch-Deadline-Ms"
"""The remaining milliseconds, not a point in time."""
EXPECT_INSTANCE_HEADER = "X-Rackswitch-Expect-Instance"
STAMP_HEADER = "X-Rackswitch-Server-Stamp"
AUTHORIZATION_HEADER = "Authorization"
TENANT_HEADER = "X-Rackswitch-Tenant"
"""The tenant that owns a request's API key; the value that a caller sends is ignored."""
DUTY_HOLDER_HEADER = "X-Rackswitch-Duty-Holder"
FENCING_HEADER = "X-Rackswitch-Fence-Token"
NOT_RUN_HEADER = "X-Rackswitch-Not-Run"
VERSIONS_HEADER = "X-Rackswitch-Weight-Versions"
"""A single number despite its name: the version that generates the answer's first event."""
URGENCY_HEADER = "X-Rackswitch-Request-Urgency"
SERVER_LOAD_HEADER = "X-Rackswitch-Server-Load"
"""Running requests, waiting requests, slots, and for some services the pace in percent."""
LENGTH_HINT_HEADER = "X-Rackswitch-Length-Hint"
TOKEN_COUNTS_HEADER = "X-Rackswitch-Token-Counts"
LAST_EVENT_HEADER = "Last-Event-Id"
WAIT_HEADER = "X-Rackswitch-Wait-Ms"

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
VERSION_PREFIX = "op/version/"
RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"
SERVERS_PREFIX = "servers/"
