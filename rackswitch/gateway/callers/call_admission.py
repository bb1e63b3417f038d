"""Applying admission decisions: calls are sent, wait in their service's queue, or are refused."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rackswitch.admission import (
    AdmissionDecision,
    AdmissionRequest,
    RefuseCall,
    SendCall,
    ServiceAdmission,
    Ticket,
    WaitInQueue,
    next_retry_at_seconds,
)
from rackswitch.gateway.context import GatewayContext
from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.routing import TargetEstimate
from rackswitch.telemetry.events import AdmissionState, CallDecided

__all__ = ["CallAdmission", "NoTarget", "TargetEstimateLookup"]

LOG_INTERVAL_SECONDS = 1.0
"""Interval between `AdmissionState` events of one service."""

MAX_ANSWER_REPORT_AGE_SECONDS = 0.02
"""Maximum age of a load report that is taken to come with the answer just received."""

MAX_LOGGED_SHARES = 20
"""Maximum number of tenants in one `AdmissionState` event, those with the largest shares."""

TargetEstimateLookup = Callable[[str], Sequence[TargetEstimate]]
"""From a service's name to the load estimates of its targets; empty if nothing is known."""


@dataclass(frozen=True, slots=True)
class NoTarget:
    """The service lost its last target while the call waited."""


FinalDecision = SendCall | RefuseCall | NoTarget


@dataclass(slots=True)
class _QueuedCall:
    """A call in a service's queue.

    Attributes
    ----------
    request : AdmissionRequest
        The call's admission request.
    expected_wait_seconds : float
        Expected wait at the time when the call was queued.
    queued_at_seconds : float
        When the call was queued (monotonic).
    final_decision : Future of FinalDecision
        Set when the call leaves the queue.
    """

    request: AdmissionRequest
    expected_wait_seconds: float
    queued_at_seconds: float
    final_decision: asyncio.Future[FinalDecision]


@dataclass(slots=True)
class _Service:
    """One service's admission state and its queued calls.

    Attributes
    ----------
    check_timer : TimerHandle or None
        The next queue check if no call ends before.
    log_timer : TimerHandle or None
        The next `AdmissionState` event; None if none is due.
    """

    name: str
    admission: ServiceAdmission
    queued_calls: dict[Ticket, _QueuedCall]
    check_timer: asyncio.TimerHandle | None = None
    log_timer: asyncio.TimerHandle | None = None


class CallAdmission:
    """Admission of this daemon's calls to all services.

    A service's queue is checked when one of its calls ends and when a queued call's time is up.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    estimates_of : callable
        Returns the load estimates of a service's targets.
    """

    __slots__ = ("_context", "_estimates_of", "_services")

    def __init__(self, context: GatewayContext, estimates_of: TargetEstimateLookup):
        self._context = context
        self._estimates_of = estimates_of
        self._services: dict[str, _Service] = {}

    async def admit(self, service_name: str, request: AdmissionRequest) -> NotRun | NoTarget | None:
        """Wait until a call may be sent; it then counts as in flight until it has ended.

        Returns
        -------
        NotRun or NoTarget or None
            Why the call must not be sent; None if it may be.
        """
        service = self._service(service_name)
        now_seconds = self._context.now_seconds()
        draw = self._context.rng.random()
        decision = service.admission.decide(
            request, self._eligible_estimates(service_name, request), draw, now_seconds
        )
        return await self._apply(service, request, decision)

    async def readmit(
        self, service_name: str, request: AdmissionRequest
    ) -> NotRun | NoTarget | None:
        """Queue a call again that a target refused to begin."""
        service = self._service(service_name)
        decision = service.admission.decide_again(request, self._context.now_seconds())
        return await self._apply(service, request, decision)

    def admit_retry(self, service_name: str, request: AdmissionRequest) -> bool:
        """Admit a retry of a failed call if the service's retry budget allows it."""
        admission = self._service(service_name).admission
        now_seconds = self._context.now_seconds()
        if not admission.try_spend_retry(now_seconds):
            return False
        admission.record_retry(request, now_seconds)
        return True

    def record_answer(
        self, service_name: str, request: AdmissionRequest, instance: str, took_seconds: float
    ) -> None:
        """Record that a target answered a call."""
        service = self._service(service_name)
        now_seconds = self._context.now_seconds()
        estimate = next(
            (
                estimate
                for estimate in self._estimates_of(service_name)
                if estimate.instance == instance
            ),
            None,
        )
        service.admission.record_end(request, took_seconds)
        if estimate is not None and estimate.report_age_seconds <= MAX_ANSWER_REPORT_AGE_SECONDS:
            service.admission.limit.record_answer(
                estimate.running, estimate.waiting, estimate.slots, now_seconds
            )
        else:
            service.admission.limit.record_answer_without_report(now_seconds)
        self._check_queue(service)

    def record_refusal(self, service_name: str, request: AdmissionRequest) -> None:
        """Record that a target refused a call because it was full."""
        service = self._service(service_name)
        service.admission.record_end(request, None)
        service.admission.record_refusal(self._context.now_seconds())
        self._check_queue(service)

    def record_end(self, service_name: str, request: AdmissionRequest) -> None:
        """Record that an admitted call ended without an answer or was not sent."""
        service = self._service(service_name)
        service.admission.record_end(request, None)
        self._check_queue(service)

    def record_no_target(self, service_name: str) -> None:
        """Release the calls queued for a service that none of its targets may serve any more.

        These are all of them if no target is usable, otherwise those whose allowed regions have
        none.
        """
        service = self._service(service_name)
        if not self._has_target(service_name, None):
            released = service.admission.remove_all_waiting()
        else:
            released = self._remove_without_target(service)
        for ticket in released:
            self._resolve(service, ticket, NoTarget())
        self._check_queue(service)

    def record_targets_excluded(self) -> None:
        """Release the queued calls of all services that have no eligible target left."""
        for service in list(self._services.values()):
            if service.queued_calls:
                self.record_no_target(service.name)

    def _remove_without_target(self, service: _Service) -> list[Ticket]:
        """Remove and return the queued calls whose allowed regions have no usable target."""
        region_sets = {queued.request.allowed_regions for queued in service.queued_calls.values()}
        excluded = {
            regions
            for regions in region_sets
            if regions is not None and not self._has_target(service.name, regions)
        }
        released = [
            ticket
            for ticket, queued in service.queued_calls.items()
            if queued.request.allowed_regions in excluded
        ]
        for ticket in released:
            service.admission.remove_waiting(ticket)
        return released

    def _has_target(self, service_name: str, allowed_regions: frozenset[str] | None) -> bool:
        now_seconds = self._context.now_seconds()
        return bool(self._context.directory.usable(service_name, now_seconds, allowed_regions))

    def _eligible_estimates(
        self, service_name: str, request: AdmissionRequest
    ) -> Sequence[TargetEstimate]:
        """Return the estimates of the targets that may serve a call."""
        estimates = self._estimates_of(service_name)
        if request.allowed_regions is None:
            return estimates
        now_seconds = self._context.now_seconds()
        directory = self._context.directory
        eligible = {
            target.instance
            for target in directory.usable(service_name, now_seconds, request.allowed_regions)
        }
        return [estimate for estimate in estimates if estimate.instance in eligible]

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(name, ServiceAdmission(), {})
        return service

    async def _apply(
        self, service: _Service, request: AdmissionRequest, decision: AdmissionDecision
    ) -> NotRun | NoTarget | None:
        self._schedule_service_log(service)
        if isinstance(decision, WaitInQueue):
            return await self._wait(service, request, decision)
        return self._finish(service, request, decision, 0.0, 0.0)

    async def _wait(
        self, service: _Service, request: AdmissionRequest, decision: WaitInQueue
    ) -> NotRun | NoTarget | None:
        queued_at_seconds = self._context.now_seconds()
        final_decision: asyncio.Future[FinalDecision] = asyncio.get_running_loop().create_future()
        queued_call = _QueuedCall(request, decision.wait_seconds, queued_at_seconds, final_decision)
        service.queued_calls[decision.ticket] = queued_call
        self._log_decision(service, request, "waits", decision.wait_seconds, 0.0)
        self._check_queue(service)
        try:
            decided = await final_decision
        except asyncio.CancelledError:
            self._remove_cancelled(service, decision.ticket, queued_call)
            raise
        waited_seconds = self._context.now_seconds() - queued_at_seconds
        return self._finish(service, request, decided, decision.wait_seconds, waited_seconds)

    def _remove_cancelled(
        self, service: _Service, ticket: Ticket, queued_call: _QueuedCall
    ) -> None:
        """Remove a call whose caller disconnected, possibly after the call was admitted."""
        service.queued_calls.pop(ticket, None)
        was_decided = (
            queued_call.final_decision.done() and not queued_call.final_decision.cancelled()
        )
        if not was_decided:
            service.admission.remove_waiting(ticket)
        elif isinstance(queued_call.final_decision.result(), SendCall):
            service.admission.record_end(queued_call.request, None)
        self._check_queue(service)

    def _finish(
        self,
        service: _Service,
        request: AdmissionRequest,
        final_decision: FinalDecision,
        expected_wait_seconds: float,
        waited_seconds: float,
    ) -> NotRun | NoTarget | None:
        if isinstance(final_decision, SendCall):
            self._log_decision(service, request, "sent", expected_wait_seconds, waited_seconds)
            return None
        if isinstance(final_decision, NoTarget):
            return final_decision
        now_seconds = self._context.now_seconds()
        draw = self._context.rng.random()
        retry_at_seconds = next_retry_at_seconds(request, final_decision, draw, now_seconds)
        outcome = f"refused: {final_decision.cause.value}"
        retry_after_seconds = retry_at_seconds - now_seconds
        self._log_decision(
            service,
            request,
            outcome,
            final_decision.wait_seconds,
            waited_seconds,
            retry_after_seconds,
        )
        return NotRun(NotRunReason.OVERLOADED, final_decision.cause.value, retry_at_seconds)

    def _check_queue(self, service: _Service) -> None:
        """Send and refuse queued calls that are due, and schedule the next check."""
        now_seconds = self._context.now_seconds()
        if service.queued_calls:
            for ticket, final_decision in service.admission.pop_due(
                self._estimates_of(service.name), now_seconds
            ):
                self._resolve(service, ticket, final_decision)
        if service.check_timer is not None:
            service.check_timer.cancel()
            service.check_timer = None
        check_at_seconds = service.admission.next_check_at_seconds(now_seconds)
        if check_at_seconds < float("inf"):
            loop = asyncio.get_running_loop()
            service.check_timer = loop.call_at(
                max(check_at_seconds, now_seconds + 1e-3), self._check_queue, service
            )

    def _resolve(self, service: _Service, ticket: Ticket, final_decision: FinalDecision) -> None:
        queued_call = service.queued_calls.pop(ticket)
        if not queued_call.final_decision.done():
            queued_call.final_decision.set_result(final_decision)
        elif isinstance(final_decision, SendCall):
            # The caller disconnected in the same iteration of the event loop.
            service.admission.record_end(queued_call.request, None)

    def _log_decision(
        self,
        service: _Service,
        request: AdmissionRequest,
        outcome: str,
        expected_wait_seconds: float,
        waited_seconds: float,
        retry_after_seconds: float = 0.0,
    ) -> None:
        estimates = self._estimates_of(service.name)
        report_ages_seconds = [estimate.report_age_seconds for estimate in estimates]
        report_age_seconds = min(report_ages_seconds, default=float("inf"))
        self._context.log.write(
            CallDecided(
                request=request.request_id,
                service=service.name,
                route=request.kind,
                tenant=request.tenant,
                caller_class=request.rank,
                outcome=outcome,
                expected_wait_seconds=round(expected_wait_seconds, 4),
                waited_seconds=round(waited_seconds, 4),
                left_seconds=round(request.deadline_seconds - self._context.now_seconds(), 4),
                waiting=len(service.admission.queue),
                in_flight=service.admission.limit.in_flight,
                limit=round(service.admission.limit.limit, 3),
                free_slots=round(sum(estimate.free_slots for estimate in estimates), 2),
                word_age_seconds=round(report_age_seconds, 4)
                if report_age_seconds < float("inf")
                else -1.0,
                come_back_seconds=round(retry_after_seconds, 4),
                refusals_since_answer=service.admission.limit.refusals_since_answer,
                crowding=round(service.admission.limit.saturation(self._context.now_seconds()), 3),
            )
        )

    def _schedule_service_log(self, service: _Service) -> None:
        """Schedule a `AdmissionState` event, which is repeated while calls are queued."""
        if service.log_timer is None:
            loop = asyncio.get_running_loop()
            service.log_timer = loop.call_later(LOG_INTERVAL_SECONDS, self._log_service, service)

    def _log_service(self, service: _Service) -> None:
        service.log_timer = None
        now_seconds = self._context.now_seconds()
        shares = service.admission.served_shares(now_seconds)
        largest_tenants = sorted(shares, key=shares.__getitem__, reverse=True)[:MAX_LOGGED_SHARES]
        self._context.log.write(
            AdmissionState(
                service=service.name,
                waiting=len(service.admission.queue),
                in_flight=service.admission.limit.in_flight,
                limit=round(service.admission.limit.limit, 3),
                oldest_wait_seconds=round(service.admission.oldest_wait_seconds(now_seconds), 4),
                tenant_shares={
                    tenant: round(shares[tenant], 4) for tenant in largest_tenants if tenant
                },
            )
        )
        if service.queued_calls:
            self._schedule_service_log(service)
