"""Loading and validation of settings files.

Each module declares its settings as a `Settings` subclass whose fields have a
type, default, bounds and description. This module reads a file and reports an
error in one line.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

__all__ = ["Settings", "SettingsFault", "describe_settings", "load_settings"]


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of settings declarations.

    A subclass may override `contradiction` to reject inconsistent values.
    """

    def contradiction(self) -> str | None:
        """Return a description of inconsistent values, or None."""
        return None


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """A one-line description of why a settings file is invalid."""

    line: str


SettingsT = TypeVar("SettingsT", bound=Settings)


def load_settings(path: str, kind: type[SettingsT]) -> SettingsT | SettingsFault:
    """Load and validate a settings file.

    Parameters
    ----------
    path : str
        A JSON file; comments and trailing commas are allowed.
    kind : type
        The `Settings` subclass to validate against.

    Returns
    -------
    Settings or SettingsFault
        The settings, or one line with the file, field, value found and values allowed.
    """
    # Imported only here, since a starting daemon reads its platform settings without it.
    import json5

    try:
        raw = json5.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        return SettingsFault(f"{path}: failed to read: {error.strerror}")
    except ValueError as error:
        return SettingsFault(f"{path}: invalid JSON with comments: {error}")
    try:
        settings = msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return SettingsFault(f"{path}: {error}{_format_found_value(raw, str(error))}")
    conflict = _first_contradiction(settings)
    if conflict is not None:
        return SettingsFault(f"{path}: {conflict}")
    return settings


def _first_contradiction(settings: Settings) -> str | None:
    conflict = settings.contradiction()
    if conflict is not None:
        return conflict
    for field in settings.__struct_fields__:
        value = getattr(settings, field)
        if isinstance(value, Settings):
            conflict = _first_contradiction(value)
            if conflict is not None:
                return f"$.{field}: {conflict}"
    return None


def _format_found_value(raw: Any, message: str) -> str:
    """Return the invalid value at the path in the message, formatted, or an empty string."""
    marker = "at `$"
    if marker not in message:
        return ""
    path = message.split(marker, 1)[1].split("`", 1)[0]
    value = raw
    for path_part in path.replace("]", "").replace("[", ".").split("."):
        if not path_part:
            continue
        try:
            value = value[int(path_part)] if isinstance(value, list) else value[path_part]
        except (KeyError, ValueError, IndexError, TypeError):
            return ""
    return f" (found {value!r})"


def describe_settings(kind: type[Settings], prefix: str = "$") -> list[str]:
    """Return a line with path, type, default and description for each field."""
    lines = []
    for field in msgspec.structs.fields(kind):
        path = f"{prefix}.{field.name}"
        field_type = field.type
        if isinstance(field_type, type) and issubclass(field_type, Settings):
            lines.extend(describe_settings(field_type, path))
            continue
        info = msgspec.inspect.type_info(field.type)
        schema_extra = getattr(info, "extra_json_schema", None) or {}
        default = "required" if field.required else f"default {field.default!r}"
        type_name = type(info).__name__.removesuffix("Type").lower()
        lines.append(
            f"{path}: {type_name}, {default}. {schema_extra.get('description', '')}".rstrip()
        )
    return lines
