"""Checking that a streamed answer is this request's own, whole and in order."""

from dataclasses import dataclass, field

__all__ = ["StreamChunk", "StreamCheck", "StreamFault", "VersionSpan"]


@dataclass(frozen=True, slots=True)
class StreamChunk:
    """A piece of an engine's answer.

    Attributes
    ----------
    request_id : str
        The identity that the engine says this chunk answers.
    tokens_so_far : int
        Tokens generated including this chunk, by the engine's count.
    version : int or None
        The weights that made these tokens, by the engine's word; None if it cannot say.
    finish_reason : str or None
        Set on the last chunk.
    queued_tokens : float or None
        The engine's load when it began to answer; on the first chunk, if it tells.
    """

    request_id: str
    token_ids: tuple[int, ...]
    text: str
    tokens_so_far: int
    version: int | None
    finish_reason: str | None = None
    queued_tokens: float | None = None


@dataclass(frozen=True, slots=True)
class StreamFault:
    """Why the answer is not to be trusted from here on."""

    detail: str


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """A run of tokens made by one version of the weights."""

    version: int | None
    tokens: int


@dataclass(slots=True)
class StreamCheck:
    """Follows one attempt's stream.

    Parameters
    ----------
    request_id : str
        This attempt's own identity.
    """

    request_id: str
    tokens: int = 0
    finished: bool = False
    spans: list[VersionSpan] = field(default_factory=list)

    def accept(self, chunk: StreamChunk) -> StreamFault | None:
        """Check the next chunk; a fault means that it must not be passed on."""
        if chunk.request_id != self.request_id:
            return StreamFault(f"chunk of another request ({chunk.request_id})")
        if self.finished:
            return StreamFault("chunk after the last")
        expected = self.tokens + len(chunk.token_ids)
        if chunk.tokens_so_far != expected:
            return StreamFault(f"engine counts {chunk.tokens_so_far} tokens, {expected} arrived")
        self.tokens = expected
        self.finished = chunk.finish_reason is not None
        self._add_span(chunk)
        return None

    def close(self) -> StreamFault | None:
        """Check, at the end of the stream, that its last chunk has been seen."""
        return None if self.finished else StreamFault("the stream ended before its last chunk")

    def _add_span(self, chunk: StreamChunk) -> None:
        count = len(chunk.token_ids)
        if count == 0:
            return
        if self.spans and self.spans[-1].version == chunk.version:
            count += self.spans.pop().tokens
        self.spans.append(VersionSpan(chunk.version, count))
