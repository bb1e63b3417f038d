"""Decides when each path of one call to the key-value service is tried.

The attempts of a call share one deadline. A later attempt starts while earlier ones are still
unanswered, so that silent paths delay a call by an interval each and not by a timeout each.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rackswitch.relay.paths import MAX_PEERS, OWN_PATH

__all__ = ["Attempt", "AttemptPlan", "hedged_stages"]

FIRST_RESERVE_SIZE = 2


@dataclass(frozen=True, slots=True)
class Attempt:
    """One way to make a call.

    Attributes
    ----------
    path : str
        A peer, or `OWN_PATH`.
    on_new_connection : bool
        Whether idle connections are discarded first, as one of them was silent.
    is_reserve : bool
        Whether the attempt is of use only while the earlier ones are silent.
    """

    path: str
    on_new_connection: bool = False
    is_reserve: bool = False


def hedged_stages(paths: Sequence[str], more_peers: Sequence[str] = ()) -> list[list[Attempt]]:
    """Return the attempts of a repeatable call, in stages that start one after the other.

    Silence on the own path may be that of one connection, so a new connection is tried at the same
    time as the next peer. That holds for an own path that counts as failed, too, if the first peer
    does not help.

    Parameters
    ----------
    paths : sequence of str
        The paths of the first stages.
    more_peers : sequence of str, optional
        Peers that are tried after all of these. Each stage has twice as many as the one before, so
        that few stages pass however many peers are silent.
    """
    if not paths:
        return []
    first, *others = paths
    second = [Attempt(OWN_PATH, on_new_connection=True), *map(Attempt, others[:1])]
    stages = [[Attempt(first)], second, *([Attempt(path)] for path in others[1:])]
    begin, size = 0, FIRST_RESERVE_SIZE
    while begin < len(more_peers):
        stages.append([Attempt(peer, is_reserve=True) for peer in more_peers[begin : begin + size]])
        begin, size = begin + size, 2 * size
    return stages


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
    has_own_path_failed : bool, optional
        Whether the own path had failed before the call. The reserve is not tried otherwise, unless
        the own path fails with an answer: if it and the first peers are silent, the service is
        probably slow, and more calls would make it slower.
    """

    __slots__ = (
        "_has_own_path_failed",
        "_interval_seconds",
        "_next_at_seconds",
        "_refusal_count",
        "_stages",
    )

    def __init__(
        self,
        stages: Sequence[list[Attempt]],
        now_seconds: float,
        interval_seconds: float,
        has_own_path_failed: bool = False,
    ):
        self._has_own_path_failed = has_own_path_failed
        self._stages = list(stages)
        self._refusal_count = 0
        self._interval_seconds = interval_seconds
        self._next_at_seconds = now_seconds

    @property
    def next_at_seconds(self) -> float | None:
        """When the next stage starts (monotonic); None if no further one will."""
        return self._next_at_seconds if self._has_next_stage() else None

    def start_due(self, now_seconds: float, all_failed: bool) -> list[Attempt]:
        """Return the attempts to start now.

        Parameters
        ----------
        now_seconds : float
            Monotonic clock.
        all_failed : bool
            Whether all attempts that have started have failed, so that nothing is waited for.
        """
        is_due = now_seconds >= self._next_at_seconds or all_failed
        if not is_due or not self._has_next_stage():
            return []
        self._next_at_seconds = now_seconds + self._interval_seconds
        return self._stages.pop(0)

    def record_failure(self, attempt: Attempt, is_silence: bool) -> None:
        """Leave out what a failed attempt makes useless.

        Parameters
        ----------
        attempt : Attempt
            The attempt that failed.
        is_silence : bool
            Whether it was sent and brought neither an answer nor a refusal.
        """
        if is_silence:
            return
        if attempt.path == OWN_PATH:
            self._has_own_path_failed = True
            self.drop_new_connection()
        else:
            self.record_refusal()

    def drop_new_connection(self) -> None:
        """Leave out the new connection, as the own path failed with an answer or without a send."""
        self._keep(lambda attempt: not attempt.on_new_connection)

    def record_refusal(self) -> None:
        """Leave out the reserve once enough peers have refused the call."""
        self._refusal_count += 1
        if self._refusal_count >= MAX_PEERS:
            self._keep(lambda attempt: not attempt.is_reserve)

    def _has_next_stage(self) -> bool:
        if not self._stages:
            return False
        return self._has_own_path_failed or not self._stages[0][0].is_reserve

    def _keep(self, is_kept: Callable[[Attempt], bool]) -> None:
        stages = [[one for one in stage if is_kept(one)] for stage in self._stages]
        self._stages = [stage for stage in stages if stage]
