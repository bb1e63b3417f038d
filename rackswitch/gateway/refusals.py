"""Answers that this daemon gives by itself, in place of a target's."""

from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.platform.ingress import request_identity
from rackswitch.telemetry.events import RequestRefused
from rackswitch.web.exchange import Exchange

__all__ = ["TEXT", "Refusal", "refuse"]

TEXT = (("content-type", "text/plain; charset=utf-8"),)

LOGGED_STATUSES = (400, 404, 408, 413, 431)
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


async def refuse(exchange: Exchange, context: GatewayContext, refusal: Refusal) -> None:
    """Answer a request with its refusal."""
    headers: tuple[tuple[str, str], ...] = TEXT
    if refusal.retry_after_seconds is not None:
        headers = (*TEXT, ("retry-after", f"{refusal.retry_after_seconds:.3f}"))
    if refusal.status in LOGGED_STATUSES:
        context.log.write(
            RequestRefused(
                request=request_identity(exchange),
                path=exchange.path,
                status=refusal.status,
                detail=refusal.detail,
                table_revision=context.table_revision,
            )
        )
    await exchange.respond(refusal.status, headers, refusal.detail.encode())
