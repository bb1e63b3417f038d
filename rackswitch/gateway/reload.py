"""Settings that changed while the daemon runs: what takes effect, and what needs a restart."""

from dataclasses import dataclass, fields

from rackswitch.platform.settings import NodeSettings

__all__ = ["SettingsChanges", "compare_settings"]

LIVE_FIELDS = frozenset(
    (
        "kv_url",
        "kv_most_value_bytes",
        "lease_least_seconds",
        "stop_grace_seconds",
        "order_turn_seconds",
        "keep_results_seconds",
    )
)
"""Fields whose readers look at the settings in force; the others name the daemon and where
it listens, which a process keeps for life."""


@dataclass(frozen=True, slots=True)
class SettingsChanges:
    """Names of the fields that changed.

    Attributes
    ----------
    applied : tuple of str
        In force from now on.
    needs_restart : tuple of str
        In force when the process is started the next time.
    """

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]


def compare_settings(before: NodeSettings, after: NodeSettings) -> SettingsChanges:
    """Return what differs between the settings in force and new ones."""
    changed = [
        field.name
        for field in fields(NodeSettings)
        if getattr(before, field.name) != getattr(after, field.name)
    ]
    return SettingsChanges(
        applied=tuple(name for name in changed if name in LIVE_FIELDS),
        needs_restart=tuple(name for name in changed if name not in LIVE_FIELDS),
    )
