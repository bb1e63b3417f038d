"""Reloading of settings: which changes apply at once and which need a restart."""

from dataclasses import dataclass, fields

from rackswitch.platform.settings import NodeSettings

__all__ = ["SettingsChanges", "compare_settings"]

RELOADABLE_FIELDS = frozenset(
    (
        "kv_url",
        "kv_most_value_bytes",
        "lease_least_seconds",
        "stop_grace_seconds",
        "order_turn_seconds",
        "keep_results_seconds",
    )
)
"""Fields that apply without a restart. The others hold the daemon's name and its addresses."""


@dataclass(frozen=True, slots=True)
class SettingsChanges:
    """Names of the fields that changed.

    Attributes
    ----------
    applied : tuple of str
        Fields that apply at once.
    needs_restart : tuple of str
        Fields that apply after a restart of the process.
    """

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]


def compare_settings(before: NodeSettings, after: NodeSettings) -> SettingsChanges:
    """Return the differences between the current settings and new ones."""
    changed = [
        field.name
        for field in fields(NodeSettings)
        if getattr(before, field.name) != getattr(after, field.name)
    ]
    return SettingsChanges(
        applied=tuple(name for name in changed if name in RELOADABLE_FIELDS),
        needs_restart=tuple(name for name in changed if name not in RELOADABLE_FIELDS),
    )
