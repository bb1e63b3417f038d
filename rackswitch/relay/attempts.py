"""Decides when each path of one call to the key-value service is tried.

The attempts of a call share one deadline. A later attempt starts while earlier ones are still
unanswered, so that silent paths delay a call by an interval each and not by a timeout each.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from rackswitch.relay.paths import OWN_PATH

__all__ = ["Attempt", "AttemptPlan", "hedged_stages"]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One way to make a call.

    Attributes
    ----------
    path : str
        A peer, or `OWN_PATH`.
    on_new_connection : bool
        Whether idle connections are discarded first, as one of them was silent.
    """

    path: str
    on_new_connection: bool = False


def hedged_stages(paths: Sequence[str]) -> list[list[Attempt]]:
    """Return the attempts of a repeatable call, in stages that start one after the other.

    Silence on the own path may be that of one connection, so a new connection is tried at the same
    time as the next peer. That holds for an own path that counts as failed, too, if the first peer
    does not help.
    """
    if not paths:
        return []
    first, *others = paths
    second = [Attempt(OWN_PATH, on_new_connection=True), *map(Attempt, others[:1])]
    return [[Attempt(first)], second, *([Attempt(path)] for path in others[1:])]


class AttemptPlan:
    """The stages of one call that have not started yet.

    Parameters
    ----------
    stages : sequence of list of Attempt
        The attempts, in the order of their start.
    now_seconds : float
        When the call begins (monotonic).
    interval_seconds : float
        How long a stage stays unanswered before the next one starts.
    """

    __slots__ = ("_interval_seconds", "_next_at_seconds", "_stages")

    def __init__(
        self, stages: Sequence[list[Attempt]], now_seconds: float, interval_seconds: float
    ):
        self._stages = list(stages)
        self._interval_seconds = interval_seconds
        self._next_at_seconds = now_seconds

    @property
    def next_at_seconds(self) -> float | None:
        """When the next stage starts (monotonic); None if all have started."""
        return self._next_at_seconds if self._stages else None

    def start_due(self, now_seconds: float, all_failed: bool) -> list[Attempt]:
        """Return the attempts to start now.

        Parameters
        ----------
        now_seconds : float
            Monotonic clock.
        all_failed : bool
            Whether all attempts that have started have failed, so that nothing is waited for.
        """
        if not self._stages or (now_seconds < self._next_at_seconds and not all_failed):
            return []
        self._next_at_seconds = now_seconds + self._interval_seconds
        return self._stages.pop(0)

    def drop_new_connection(self) -> None:
        """Leave out the new connection, as the own path failed with an answer or without a send."""
        stages = [[one for one in stage if not one.on_new_connection] for stage in self._stages]
        self._stages = [stage for stage in stages if stage]
