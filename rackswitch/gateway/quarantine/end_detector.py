"""Asking after targets at which runs broke off."""

import asyncio
from collections.abc import Callable

from rackswitch.clients.probe import look_at
from rackswitch.gateway.context import GatewayContext
from rackswitch.quarantine import LOOK_PAUSE_SECONDS, EndEvidence, EndInvestigations, TargetEnd
from rackswitch.routing import ListedTarget
from rackswitch.telemetry.events import TargetEnded

__all__ = ["EndDetector"]

LOOK_TIMEOUT_SECONDS = 0.5
"""A new connection takes 1 ms and two network delays; a lost packet is sent again after 1 s."""


class EndDetector:
    """Finds out which targets have ended under runs of this daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    on_ended : callable
        Told of each end, with what broke there.
    """

    __slots__ = ("_context", "_on_ended", "inquiries", "resolved")

    def __init__(self, context: GatewayContext, on_ended: Callable[[TargetEnd], None]):
        self._context = context
        self._on_ended = on_ended
        self.inquiries = EndInvestigations()
        self.resolved = asyncio.Event()
        """Set when an inquiry is over, and replaced then."""

    def broke(self, fingerprint: str, target: ListedTarget) -> None:
        """Note that a run of a request broke off at a target.

        One that is leaving ends as planned, with whatever it still runs, and nobody is to blame.
        """
        listed = self._context.directory.entries.get(target.instance)
        if listed is None or listed.draining:
            return
        now_seconds = self._context.now_seconds()
        if self.inquiries.broke(target.start, fingerprint, now_seconds):
            self._context.daemon.spawn(self._inquire(target))

    def ended(self, start: str, evidence: EndEvidence) -> None:
        """Note that the platform's list shows the end of a target."""
        self._tell(self.inquiries.ended(start, evidence))

    async def _inquire(self, target: ListedTarget) -> None:
        while self.inquiries.is_open(target.start):
            began_seconds = self._context.now_seconds()
            look = await look_at(target.host, target.port, LOOK_TIMEOUT_SECONDS)
            now_seconds = self._context.now_seconds()
            self._tell(self.inquiries.looked(target.start, look, began_seconds, now_seconds))
            if self.inquiries.is_open(target.start):
                await asyncio.sleep(LOOK_PAUSE_SECONDS)
        self.resolved.set()
        self.resolved = asyncio.Event()

    def _tell(self, end: TargetEnd | None) -> None:
        if end is None:
            return
        self._context.log.write(
            TargetEnded(
                target=end.target,
                evidence=end.evidence.value,
                runs=list(end.fingerprints),
                list_age_seconds=self._context.list_age_seconds(),
            )
        )
        self._on_ended(end)
