"""Which engines need a newly named version, where jobs may use the one before it as well."""

from dataclasses import dataclass

from rackswitch.weights.rollout import EngineView

__all__ = ["VersionNeed", "engines_to_load", "loads_at_once"]

NEWEST_SHARE = 0.5
"""Share of the engines that have the newest version. With half, each engine loads every
second version: whichever jobs use the version before the newest can run anywhere, and at
each new version half of the engines serve on without a pause."""


LOADING_SHARE = 0.4
"""Share of a service's engines that load at once. The platform's sheets name the number from
which loads slow each other down: two of five or six engines, nine of twenty-two."""

LEAST_LOADING = 2
"""Loads at once however few the engines are."""


def loads_at_once(engines: int) -> int:
    """Return how many of a service's engines may load at the same time."""
    return max(LEAST_LOADING, int(engines * LOADING_SHARE))


@dataclass(frozen=True, slots=True)
class VersionNeed:
    """What is known of a model's versions.

    Attributes
    ----------
    newest : int
        The version named last.
    oldest_usable : int
        The oldest version that all open jobs may use; engines below it are idle.
    """

    newest: int
    oldest_usable: int


def engines_to_load(need: VersionNeed, engines: list[EngineView]) -> list[EngineView]:
    """Return the engines that should load the newest version now.

    Those that no job can use come first. Then as many others as bring the newest version
    to its share, so that a job which needs it finds engines.

    Parameters
    ----------
    need : VersionNeed
        The versions.
    engines : list of EngineView
        All engines that carry the model; one that is loading counts as having the newest.

    Returns
    -------
    list of EngineView
        In the order in which they should load.
    """
    usable_from = max(need.oldest_usable, need.newest - 1)
    behind = [engine for engine in engines if (engine.version or 0) < need.newest]
    idle = [engine for engine in behind if (engine.version or 0) < usable_from]
    others = [engine for engine in behind if engine not in idle]
    others.sort(key=lambda engine: (engine.version or 0, engine.name))
    current = len(engines) - len(behind) + len(idle)
    wanted = -int(-len(engines) * NEWEST_SHARE // 1)
    return idle + others[: max(0, wanted - current)]
