"""Client of scoring services."""

from dataclasses import dataclass

import msgspec

from rackswitch.clients.http import CallFailed, HttpSessions, call_json

__all__ = ["Score", "ScorerClient", "ScoringFailed"]

CALL_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Score:
    """A score and the version of the scorer."""

    score: float
    scorer_version: str


@dataclass(frozen=True, slots=True)
class ScoringFailed:
    """The scoring failed; it has no side effects and may be retried."""

    detail: str


class _WireScore(msgspec.Struct, frozen=True):
    sample_id: str
    score: float
    scorer_version: str


class ScorerClient:
    """Client of scoring services.

    Parameters
    ----------
    sessions : HttpSessions
        Connections to use.
    """

    __slots__ = ("_sessions",)

    def __init__(self, sessions: HttpSessions):
        self._sessions = sessions

    async def score(
        self, url: str, sample_id: str, prompt: str, text: str
    ) -> Score | ScoringFailed:
        """Score one sample; a response for another sample counts as a failure."""
        body = {"sample_id": sample_id, "prompt": prompt, "text": text}
        wire = await call_json(
            self._sessions.pooled, "POST", url + "/score", _WireScore, CALL_TIMEOUT_SECONDS, body
        )
        if isinstance(wire, CallFailed):
            return ScoringFailed(wire.detail)
        if wire.sample_id != sample_id:
            return ScoringFailed("the response is for another sample")
        return Score(wire.score, wire.scorer_version)
