"""Calls to the operators' API that one daemon at a time makes."""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Any

import aiohttp
import msgspec

from rackswitch.clients.http import NOT_SENT_ERRORS, HttpSessions
from rackswitch.platform.names import DUTY_HOLDER_HEADER, FENCING_HEADER

__all__ = ["DutyAnswer", "DutyClient", "DutyOutcome", "Holder"]

CALL_TIMEOUT_SECONDS = 1.0
"""An answer takes some 10 ms on a calm day; a call that was lost is made again, and its turn is
over by then."""


class DutyOutcome(Enum):
    """What became of a call."""

    TAKEN = "taken"
    NONE_TO_BE_HAD = "none to be had"
    """The platform has no more engines of the kind in the zone now."""

    BUSY = "busy"
    """Too many calls, or the API is down for the moment; nothing was done."""

    REFUSED = "refused"
    """It will not be taken later either."""

    UNKNOWN = "unknown"
    """No answer: it may have been taken, or may still be."""


@dataclass(frozen=True, slots=True)
class DutyAnswer:
    """What became of a call, and a few words on it."""

    outcome: DutyOutcome
    detail: str


@dataclass(frozen=True, slots=True)
class Holder:
    """Who makes a call, and the fencing number of its role."""

    daemon: str
    fencing: int


class DutyClient:
    """Client of the operators' API.

    Parameters
    ----------
    url : str
        Where the API is.
    sessions : HttpSessions
        Connections to use; each call takes one of its own, as a late one must not wait for
        another's answer.
    """

    __slots__ = ("_sessions", "_url")

    def __init__(self, url: str, sessions: HttpSessions):
        self._url = url
        self._sessions = sessions

    async def report_usage(self, holder: Holder, window: int, counts: dict[str, int]) -> DutyAnswer:
        """Report how many of each tenant's requests began in a window."""
        return await self._post("/usage", holder, {"window": window, "counts": counts})

    async def order_engines(
        self, holder: Holder, service: str, zone: str, count: int, reclaimable: bool
    ) -> DutyAnswer:
        """Order how many engines of one kind a service is to have in a zone."""
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
                await answer.read()
        except NOT_SENT_ERRORS as error:
            return DutyAnswer(DutyOutcome.BUSY, f"cannot connect: {type(error).__name__}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return DutyAnswer(DutyOutcome.UNKNOWN, f"no answer: {type(error).__name__}")
        return _answer_of(answer.status)


def _answer_of(status: int) -> DutyAnswer:
    detail = f"status {status}"
    if 200 <= status < 300:
        return DutyAnswer(DutyOutcome.TAKEN, detail)
    if status == 409:
        return DutyAnswer(DutyOutcome.NONE_TO_BE_HAD, detail)
    if status in (429, 503):
        return DutyAnswer(DutyOutcome.BUSY, detail)
    if status >= 500:
        return DutyAnswer(DutyOutcome.UNKNOWN, detail)
    return DutyAnswer(DutyOutcome.REFUSED, detail)
