"""Responses to callers: problems, server-sent events and bodies."""

from typing import Any

import msgspec

from rackswitch.daemon.completions import CompletionCall
from rackswitch.outcomes import Completed, MayHaveRun, NotRun, NotRunReason, Outcome
from rackswitch.requests import StreamChunk
from rackswitch.web.problems import Problem

__all__ = ["chunk_body", "complete_body", "outcome_label", "outcome_problem", "server_sent_event"]

STATUS_OF_REASON = {
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.UNAUTHORIZED: 401,
    NotRunReason.UNKNOWN_MODEL: 404,
    NotRunReason.OVER_LIMIT: 429,
    NotRunReason.DEADLINE_TOO_NEAR: 503,
    NotRunReason.NO_TARGET: 503,
    NotRunReason.OVERLOADED: 503,
    NotRunReason.CLAIMS_UNAVAILABLE: 503,
    NotRunReason.STOPPING: 503,
    NotRunReason.TABLE_UNCONFIRMED: 503,
}


def outcome_problem(outcome: Outcome, now_seconds: float) -> Problem:
    """Return the problem that reports an outcome without an answer to the caller."""
    if isinstance(outcome, NotRun):
        status = STATUS_OF_REASON[outcome.reason]
        retry = _retry_after(outcome.retry_at_seconds, now_seconds)
        return Problem(status, outcome.reason.value, outcome.detail, "no", retry)
    if isinstance(outcome, MayHaveRun):
        retry = _retry_after(outcome.retry_at_seconds, now_seconds)
        return Problem(502, "may-have-run", outcome.detail, "unknown", retry)
    return Problem(502, "ran-and-failed", "the target failed", "yes", None)


def _retry_after(at_seconds: float | None, now_seconds: float) -> float | None:
    return None if at_seconds is None else max(0.0, at_seconds - now_seconds)


def outcome_label(outcome: Outcome) -> str:
    """Return the metric label of an outcome."""
    if isinstance(outcome, Completed):
        return "completed"
    if isinstance(outcome, NotRun):
        return "not_run"
    return "may_have_run" if isinstance(outcome, MayHaveRun) else "failed"


def server_sent_event(body: dict[str, Any]) -> bytes:
    """Encode one server-sent event."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def _fingerprint(call: CompletionCall, version: int | None) -> str | None:
    return None if version is None else f"{call.route.name}@{version}"


def chunk_body(call: CompletionCall, chunk: StreamChunk) -> dict[str, Any]:
    """Return a chunk in the form of the OpenAI completions interface."""
    choice = {
        "index": 0,
        "text": chunk.text,
        "token_ids": chunk.token_ids,
        "finish_reason": chunk.finish_reason,
    }
    return {
        "object": "text_completion",
        "model": call.route.name,
        "choices": [choice],
        "system_fingerprint": _fingerprint(call, chunk.version),
    }


def complete_body(call: CompletionCall, chunks: list[StreamChunk]) -> dict[str, Any]:
    """Return a complete answer in the form of the OpenAI completions interface."""
    last = chunks[-1]
    choice = {
        "index": 0,
        "text": "".join(chunk.text for chunk in chunks),
        "finish_reason": last.finish_reason,
    }
    tokens = sum(len(chunk.token_ids) for chunk in chunks)
    return {
        "object": "text_completion",
        "model": call.route.name,
        "choices": [choice],
        "system_fingerprint": _fingerprint(call, last.version),
        "usage": {"completion_tokens": tokens},
    }
