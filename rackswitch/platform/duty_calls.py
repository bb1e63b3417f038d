"""Calls to the operators' API, made by one daemon of the fleet at a time."""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Any

import aiohttp
import msgspec

from rackswitch.clients.bodies import read_body
from rackswitch.clients.http import NOT_SENT_ERRORS, HttpSessions, error_name
from rackswitch.platform.names import DUTY_HOLDER_HEADER, FENCING_HEADER

__all__ = ["DutyAnswer", "DutyClient", "DutyOutcome", "Holder"]

CALL_TIMEOUT_SECONDS = 1.0
"""A call without an answer by then has an unknown outcome. An answer usually takes some 10 ms; a
lost call is made again within the turn."""


class DutyOutcome(Enum):
    """Outcome of a call."""

    ACCEPTED = "taken"
    NONE_AVAILABLE = "none to be had"
    """The platform has no more engines of this kind in the zone at present."""

    BUSY = "busy"
    """Rate limit reached, or the API is temporarily unavailable; the call had no effect."""

    REFUSED = "refused"
    """A permanent error; a retry would not succeed."""

    UNKNOWN = "unknown"
    """No usable answer; the call may have taken effect, or may still do so."""


@dataclass(frozen=True, slots=True)
class DutyAnswer:
    """Outcome of a call, with a description."""

    outcome: DutyOutcome
    detail: str


@dataclass(frozen=True, slots=True)
class Holder:
    """The daemon that makes a call, and the fencing number of its role."""

    daemon: str
    fencing: int


class DutyClient:
    """Client of the operators' API.

    Parameters
    ----------
    url : str
        Address of the API.
    sessions : HttpSessions
        Connections to use. Each call opens a new one, so that it does not wait for the answer to
        another.
    """

    __slots__ = ("_sessions", "_url")

    def __init__(self, url: str, sessions: HttpSessions):
        self._url = url
        self._sessions = sessions

    async def report_usage(self, holder: Holder, window: int, counts: dict[str, int]) -> DutyAnswer:
        """Report the number of requests of each tenant that began in a window."""
        return await self._post("/usage", holder, {"window": window, "counts": counts})

    async def order_engines(
        self, holder: Holder, service: str, zone: str, count: int, reclaimable: bool
    ) -> DutyAnswer:
        """Order a number of engines of one kind for a service in a zone."""
        body: dict[str, Any] = {"service": service, "zone": zone, "desired_count": count}
        if reclaimable:
            body["spot"] = True
        return await self._post("/scale", holder, body)

    async def _post(self, path: str, holder: Holder, body: dict[str, Any]) -> DutyAnswer:
        headers = {
            "Content-Type": "application/json",
            DUTY_HOLDER_HEADER: holder.daemon,
            FENCING_HEADER: str(holder.fencing),
        }
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_SECONDS),
                self._sessions.single_use.post(
                    self._url + path, data=msgspec.json.encode(body), headers=headers
                ) as answer,
            ):
                await read_body(answer)
        except NOT_SENT_ERRORS as error:
            return DutyAnswer(DutyOutcome.BUSY, f"cannot connect: {error_name(error)}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return DutyAnswer(DutyOutcome.UNKNOWN, f"no answer: {error_name(error)}")
        return _answer_for_status(answer.status)


def _answer_for_status(status: int) -> DutyAnswer:
    detail = f"status {status}"
    if 200 <= status < 300:
        return DutyAnswer(DutyOutcome.ACCEPTED, detail)
    if status == 409:
        return DutyAnswer(DutyOutcome.NONE_AVAILABLE, detail)
    if status in (429, 503):
        return DutyAnswer(DutyOutcome.BUSY, detail)
    if status >= 500:
        return DutyAnswer(DutyOutcome.UNKNOWN, detail)
    return DutyAnswer(DutyOutcome.REFUSED, detail)
