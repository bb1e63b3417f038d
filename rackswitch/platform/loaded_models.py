"""The weights that a target says it has, in its entry of the list and in its report."""

import msgspec

__all__ = ["WireLoadedModel", "versions_of"]


class WireLoadedModel(msgspec.Struct):
    """A model that a target carries, and the version of its weights."""

    name: str
    version: int = 0


def versions_of(models: list[WireLoadedModel]) -> dict[str, int]:
    """Return the versions by model."""
    return {model.name: model.version for model in models}
