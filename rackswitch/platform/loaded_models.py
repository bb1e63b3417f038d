"""The loaded weights in a target's entry of the list and in its report."""

from typing import Annotated

import msgspec

__all__ = ["Count", "WireLoadedModel", "versions_of"]

MAX_COUNT = 2**53
"""The largest integer that all JSON implementations represent exactly."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A non-negative integer."""


class WireLoadedModel(msgspec.Struct):
    """A model that a target has loaded, and the version of its weights."""

    name: str
    version: Count = 0


def versions_of(models: list[WireLoadedModel]) -> dict[str, int]:
    """Return the versions by model."""
    return {model.name: model.version for model in models}
