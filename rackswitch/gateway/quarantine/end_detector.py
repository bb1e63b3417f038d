"""Probing targets at which runs failed, to find out whether they ended."""

import asyncio
from collections.abc import Callable

from rackswitch.clients.probe import probe_target
from rackswitch.gateway.context import GatewayContext
from rackswitch.quarantine import PROBE_INTERVAL_SECONDS, EndEvidence, EndInvestigations, TargetEnd
from rackswitch.routing import ListedTarget
from rackswitch.telemetry.events import TargetEnded

__all__ = ["EndDetector"]

PROBE_TIMEOUT_SECONDS = 0.5
"""A new connection takes 1 ms and two network delays; a lost packet is sent again only after 1
s."""


class EndDetector:
    """Finds out which targets ended under runs of this daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    on_ended : callable
        Called with each end and the runs that failed there.
    """

    __slots__ = ("_context", "_on_ended", "investigations", "resolved")

    def __init__(self, context: GatewayContext, on_ended: Callable[[TargetEnd], None]):
        self._context = context
        self._on_ended = on_ended
        self.investigations = EndInvestigations()
        self.resolved = asyncio.Event()
        """Set when an investigation is closed, and then replaced by a new event."""

    def record_failure(self, fingerprint: str, target: ListedTarget) -> None:
        """Record a failed run and investigate its target.

        A draining or unlisted target is ignored, as its end is planned.
        """
        listed = self._context.directory.entries.get(target.instance)
        if listed is None or listed.draining:
            return
        now_seconds = self._context.now_seconds()
        if self.investigations.record_interruption(target.start, fingerprint, now_seconds):
            self._context.daemon.spawn(self._investigate(target))

    def record_end(self, start: str, evidence: EndEvidence) -> None:
        """Record that the platform's list shows the end of a target."""
        self._report(self.investigations.close(start, evidence))

    async def _investigate(self, target: ListedTarget) -> None:
        while self.investigations.is_open(target.start):
            probed_at_seconds = self._context.now_seconds()
            outcome = await probe_target(target.host, target.port, PROBE_TIMEOUT_SECONDS)
            now_seconds = self._context.now_seconds()
            self._report(
                self.investigations.record_probe(
                    target.start, outcome, probed_at_seconds, now_seconds
                )
            )
            if self.investigations.is_open(target.start):
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        self.resolved.set()
        self.resolved = asyncio.Event()

    def _report(self, end: TargetEnd | None) -> None:
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
