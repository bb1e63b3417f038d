"""Reading and checking of settings files.

A subject declares its settings where it uses them, as a `Settings` subclass
whose fields carry type, default, bounds and description. This module reads a
file and turns every fault into one line.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec

__all__ = ["Settings", "SettingsFault", "describe_settings", "load_settings"]


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings declarations.

    A subclass may override `contradiction` to reject values that cannot stand
    together.
    """

    def contradiction(self) -> str | None:
        """Return what contradicts what, or None."""
        return None


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """Why a settings file cannot be used, in one line."""

    line: str


SettingsT = TypeVar("SettingsT", bound=Settings)


def load_settings(path: str, kind: type[SettingsT]) -> SettingsT | SettingsFault:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        A JSON file; comments and trailing commas are allowed.
    kind : type
        The declaration to check against.

    Returns
    -------
    Settings or SettingsFault
        The settings, or one line with file, field, what was found and what is allowed.
    """
    try:
        raw = json5.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        return SettingsFault(f"{path}: cannot be read: {error.strerror}")
    except ValueError as error:
        return SettingsFault(f"{path}: not JSON with comments: {error}")
    try:
        settings = msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return SettingsFault(f"{path}: {error}{_found(raw, str(error))}")
    clash = _first_contradiction(settings)
    if clash is not None:
        return SettingsFault(f"{path}: {clash}")
    return settings


def _first_contradiction(settings: Settings) -> str | None:
    clash = settings.contradiction()
    if clash is not None:
        return clash
    for field in settings.__struct_fields__:
        value = getattr(settings, field)
        if isinstance(value, Settings):
            clash = _first_contradiction(value)
            if clash is not None:
                return f"$.{field}: {clash}"
    return None


def _found(raw: Any, message: str) -> str:
    """Return the value that the message complains about, when its path leads to one."""
    marker = "at `$"
    if marker not in message:
        return ""
    path = message.split(marker, 1)[1].split("`", 1)[0]
    value = raw
    for step in path.replace("]", "").replace("[", ".").split("."):
        if not step:
            continue
        try:
            value = value[int(step)] if isinstance(value, list) else value[step]
        except (KeyError, ValueError, IndexError, TypeError):
            return ""
    return f" (found {value!r})"


def describe_settings(kind: type[Settings], prefix: str = "$") -> list[str]:
    """Return one line per field: path, type, default and description."""
    lines = []
    for field in msgspec.structs.fields(kind):
        path = f"{prefix}.{field.name}"
        inner = field.type
        if isinstance(inner, type) and issubclass(inner, Settings):
            lines.extend(describe_settings(inner, path))
            continue
        info = msgspec.inspect.type_info(field.type)
        extra = getattr(info, "extra_json_schema", None) or {}
        default = "required" if field.required else f"default {field.default!r}"
        type_name = type(info).__name__.removesuffix("Type").lower()
        lines.append(f"{path}: {type_name}, {default}. {extra.get('description', '')}".rstrip())
    return lines
