"""Error responses that the daemon itself sends in place of a target's answer."""

from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.platform.ingress import caller_request_id
from rackswitch.telemetry.events import RequestRefused
from rackswitch.web.exchange import Exchange

__all__ = ["TEXT_HEADERS", "Refusal", "refuse", "refuse_before_routing"]

TEXT_HEADERS = (("content-type", "text/plain; charset=utf-8"),)


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error response to a request that has not run and will not run.

    Attributes
    ----------
    detail : str
        The reason, for the log.
    retry_after_seconds : float or None
        Value of the `Retry-After` header; None to send none.
    response_text : str
        Response body in place of `detail`, where `detail` is not meant for callers.
    """

    status: int
    detail: str
    retry_after_seconds: float | None = None
    response_text: str = ""


async def refuse(exchange: Exchange, refusal: Refusal) -> None:
    """Send a refusal without logging it."""
    headers: tuple[tuple[str, str], ...] = TEXT_HEADERS
    if refusal.status == 401:
        headers = (*headers, ("www-authenticate", "Bearer"))
    if refusal.retry_after_seconds is not None:
        headers = (*headers, ("retry-after", f"{refusal.retry_after_seconds:.3f}"))
    await exchange.respond(
        refusal.status, headers, (refusal.response_text or refusal.detail).encode()
    )


async def refuse_before_routing(
    exchange: Exchange, context: GatewayContext, refusal: Refusal
) -> None:
    """Log and send a refusal for which no other event is logged."""
    context.log.write(
        RequestRefused(
            request=caller_request_id(exchange),
            path=exchange.path,
            status=refusal.status,
            detail=refusal.detail,
            table_revision=context.table_revision,
            table_age_seconds=context.table_age_seconds(),
        )
    )
    await refuse(exchange, refusal)
