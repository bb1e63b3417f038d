"""Answers that this daemon gives by itself, in place of a target's."""

from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.platform.ingress import request_identity
from rackswitch.telemetry.events import RequestRefused
from rackswitch.web.exchange import Exchange

__all__ = ["TEXT", "Refusal", "refuse", "refuse_before_routing"]

TEXT = (("content-type", "text/plain; charset=utf-8"),)


@dataclass(frozen=True, slots=True)
class Refusal:
    """That a request has not run and will not, and why.

    Attributes
    ----------
    detail : str
        Why, for the log.
    retry_after_seconds : float or None
        When the caller should come back, counted from the answer; None if it need not.
    told : str
        What the caller reads in place of the detail, if that is not for everybody.
    """

    status: int
    detail: str
    retry_after_seconds: float | None = None
    told: str = ""


async def refuse(exchange: Exchange, refusal: Refusal) -> None:
    """Answer a request with its refusal; the caller logs what decided."""
    headers: tuple[tuple[str, str], ...] = TEXT
    if refusal.status == 401:
        headers = (*headers, ("www-authenticate", "Bearer"))
    if refusal.retry_after_seconds is not None:
        headers = (*headers, ("retry-after", f"{refusal.retry_after_seconds:.3f}"))
    await exchange.respond(refusal.status, headers, (refusal.told or refusal.detail).encode())


async def refuse_before_routing(
    exchange: Exchange, context: GatewayContext, refusal: Refusal
) -> None:
    """Refuse a request of which no other line tells, and log why."""
    context.log.write(
        RequestRefused(
            request=request_identity(exchange),
            path=exchange.path,
            status=refusal.status,
            detail=refusal.detail,
            table_revision=context.table_revision,
        )
    )
    await refuse(exchange, refusal)
