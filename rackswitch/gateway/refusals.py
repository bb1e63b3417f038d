"""Answers that this daemon gives by itself, in place of a target's."""

from dataclasses import dataclass

from rackswitch.telemetry import DecisionLog
from rackswitch.web.exchange import Exchange

__all__ = ["TEXT", "Refusal", "refuse"]

TEXT = (("content-type", "text/plain; charset=utf-8"),)

LOGGED_STATUSES = (400, 404, 413, 431)
"""Refusals that have a line of their own in the decision log."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """That a request has not run and will not, and why.

    Attributes
    ----------
    retry_after_seconds : float or None
        When the caller should come back, counted from the answer; None if it need not.
    """

    status: int
    detail: str
    retry_after_seconds: float | None = None


async def refuse(exchange: Exchange, log: DecisionLog, refusal: Refusal) -> None:
    """Answer a request with its refusal."""
    headers: tuple[tuple[str, str], ...] = TEXT
    if refusal.retry_after_seconds is not None:
        headers = (*TEXT, ("retry-after", f"{refusal.retry_after_seconds:.3f}"))
    if refusal.status in LOGGED_STATUSES:
        log.write("request refused", status=refusal.status, detail=refusal.detail)
    await exchange.respond(refusal.status, headers, refusal.detail.encode())
