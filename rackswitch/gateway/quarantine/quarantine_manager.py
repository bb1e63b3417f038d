"""Decides at this daemon which requests are held back because targets end under them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from rackswitch.clients.kv import Compare, KvEntry, KvUnavailable, Operation, TxnPart
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.quarantine.end_detector import EndDetector
from rackswitch.gateway.quarantine.end_reporter import ENDS_PREFIX, EndReporter, ReportUrgency
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.quarantine import (
    AwaitingInvestigations,
    EndRecord,
    Evidence,
    HeldBack,
    LocalEnds,
    NotSuspected,
    Suspicion,
    TargetEnd,
    TrialDue,
    TrialRecord,
    judge,
    judge_item,
)
from rackswitch.routing import ListedTarget
from rackswitch.telemetry.events import RequestCleared, RequestHeldBack, TrialClaimed

__all__ = ["TRIALS_PREFIX", "HeldRequest", "QuarantineManager"]

TRIALS_PREFIX = "control/trials/"

UNCLAIMED_RETRY_DELAY_SECONDS = 1.0
"""Retry delay after a trial could not be claimed: another daemon has claimed it, or the key-value
service is unreachable."""

PACED_RETRY_DELAY_SECONDS = 0.2
"""Retry delay if the fate of other targets was not known in time."""

MAX_FREED_TRIALS = 256


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that must not be sent now.

    Attributes
    ----------
    until_seconds : float
        When it may be retried (monotonic).
    """

    detail: str
    until_seconds: float


@dataclass(frozen=True, slots=True)
class _ClaimedTrials:
    record: TrialRecord
    revision: int


class QuarantineManager:
    """Admits each send of a request and records its result.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    entries_complete : callable
        Whether this daemon has read the records of all daemons.

    Attributes
    ----------
    end_detector : EndDetector
        Finds out which targets ended.
    """

    __slots__ = (
        "_context",
        "_entries_complete",
        "_evidence",
        "_freed_trials",
        "_own_ends",
        "_reporter",
        "_trials",
        "end_detector",
    )

    def __init__(self, context: GatewayContext, entries_complete: Callable[[], bool]):
        self._context = context
        self._evidence = Evidence()
        self._trials: dict[str, _ClaimedTrials] = {}
        self._freed_trials: set[str] = set()
        self._entries_complete = entries_complete
        self._own_ends = LocalEnds()
        self._reporter = EndReporter(
            context, self._own_ends, entries_complete, self._record_own_ends
        )
        self.end_detector = EndDetector(context, self._record_end)

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected; if none is, no fingerprint has to be computed."""
        return (
            not self._evidence.is_empty
            or bool(self._trials)
            or self.end_detector.investigations.any_open
        )

    async def run(self) -> None:
        """Report ended targets to the other daemons until cancelled."""
        await self._reporter.run()

    # Records of other daemons

    def record_put(self, entry: KvEntry) -> None:
        """Store a daemon's record of ends."""
        daemon = entry.key.removeprefix(ENDS_PREFIX)
        record = msgspec.json.decode(entry.value, type=EndRecord)
        if daemon != self._context.daemon_name:
            self._evidence.put_record(daemon, record)
        elif not self._entries_complete():
            # Written by an earlier process of this daemon; this one has not written yet.
            self._reporter.adopt(record)

    def record_deleted(self, key: str) -> None:
        """Remove another daemon's record of ends; store this daemon's own record again."""
        daemon = key.removeprefix(ENDS_PREFIX)
        if daemon == self._context.daemon_name:
            self._reporter.restore_record()
        else:
            self._evidence.remove_record(daemon)

    def trial_put(self, entry: KvEntry) -> None:
        """Store the trials of a request."""
        record = msgspec.json.decode(entry.value, type=TrialRecord)
        fingerprint = entry.key.removeprefix(TRIALS_PREFIX)
        self._trials[fingerprint] = _ClaimedTrials(record, entry.mod_revision)

    def trial_deleted(self, key: str) -> None:
        """Remove the trials of a request."""
        self._trials.pop(key.removeprefix(TRIALS_PREFIX), None)

    def receive_record(self, request: pb.TellEndsRequest) -> pb.TellEndsReply:
        """Store a record that a daemon sent directly."""
        record = msgspec.json.decode(request.record, type=EndRecord)
        if request.daemon != self._context.daemon_name:
            self._evidence.put_record(request.daemon, record)
        return pb.TellEndsReply()

    # Requests of this daemon

    async def admit(
        self,
        fingerprint_of: Callable[[], str],
        deadline_seconds: float,
        may_claim: bool = True,
    ) -> HeldRequest | None:
        """Return why a request must not be sent to any target now; None if it may be.

        Parameters
        ----------
        fingerprint_of : callable
            Returns the request's fingerprint; called only if any request is suspected.
        deadline_seconds : float
            How long to wait (monotonic) until the fate of other targets is known.
        may_claim : bool
            Whether to claim a trial if the request needs one; it must then be sent. Otherwise
            call this again before sending.
        """
        if not self.has_suspects:
            return None
        fingerprint = fingerprint_of()
        while True:
            now_unix_seconds = self._context.unix_seconds()
            verdict = judge(self._suspicion(fingerprint), now_unix_seconds)
            if isinstance(verdict, NotSuspected):
                return None
            if isinstance(verdict, AwaitingInvestigations):
                if not await self._wait_for_outcome(deadline_seconds):
                    return self._hold(fingerprint, PACED_RETRY_DELAY_SECONDS)
                continue
            if fingerprint in self._freed_trials:
                if may_claim:
                    self._freed_trials.discard(fingerprint)
                return None
            if isinstance(verdict, HeldBack):
                return self._hold(fingerprint, verdict.until_unix_seconds - now_unix_seconds)
            if not may_claim or await self._claim(fingerprint, verdict):
                return None
            return self._hold(fingerprint, UNCLAIMED_RETRY_DELAY_SECONDS)

    async def admit_item(
        self, fingerprint_of: Callable[[], str], deadline_seconds: float
    ) -> HeldRequest | None:
        """Return why an item or its reward call must not be sent now; None if it may be.

        Parameters
        ----------
        fingerprint_of : callable
            Returns the request's fingerprint; called only if any request is suspected.
        deadline_seconds : float
            How long to wait (monotonic) until the fate of other targets is known.
        """
        if not self.has_suspects:
            return None
        fingerprint = fingerprint_of()
        while True:
            now_unix_seconds = self._context.unix_seconds()
            verdict = judge_item(self._suspicion(fingerprint), now_unix_seconds)
            if isinstance(verdict, NotSuspected):
                return None
            if isinstance(verdict, HeldBack):
                return self._hold(fingerprint, verdict.until_unix_seconds - now_unix_seconds)
            if not await self._wait_for_outcome(deadline_seconds):
                return self._hold(fingerprint, PACED_RETRY_DELAY_SECONDS)

    def record_failure(self, fingerprint: str, target: ListedTarget) -> None:
        """Record that a run of a request failed at a target."""
        self.end_detector.record_failure(fingerprint, target)

    def record_answer(self, fingerprint_of: Callable[[], str]) -> None:
        """Clear a request of suspicion, as a target has answered it."""
        if not self.has_suspects:
            return
        fingerprint = fingerprint_of()
        self.end_detector.investigations.clear(fingerprint)
        ends = self._evidence.count(fingerprint)
        is_on_trial = fingerprint in self._trials
        if not ends and not is_on_trial:
            return
        # Reported at once if it may decide about another request that was present at these ends.
        is_suspected = self._evidence.max_ends_of_co_suspects(fingerprint) > 1
        reported_by_others = self._evidence.targets_reported_by_others(
            fingerprint, self._context.daemon_name
        )
        self._own_ends.clear(fingerprint, reported_by_others, self._context.unix_seconds())
        self._reporter.schedule_report(
            ReportUrgency.NOW if is_suspected else ReportUrgency.WITH_NEXT
        )
        if is_on_trial:
            self._context.daemon.spawn(self._end_trials(fingerprint))
        self._context.log.write(RequestCleared(fingerprint=fingerprint, ends=ends))

    def record_not_run(self, fingerprint_of: Callable[[], str]) -> None:
        """Make a claimed trial available again, as the target did not begin the request."""
        if not self._trials:
            return
        fingerprint = fingerprint_of()
        if fingerprint in self._trials and len(self._freed_trials) < MAX_FREED_TRIALS:
            self._freed_trials.add(fingerprint)

    def _suspicion(self, fingerprint: str) -> Suspicion:
        trials = self._trials.get(fingerprint)
        return Suspicion(
            ends=self._evidence.count(fingerprint),
            unresolved=self.end_detector.investigations.count(fingerprint),
            is_sole_suspect=self._evidence.is_sole_suspect(fingerprint),
            newest_end_unix_seconds=self._evidence.newest_unix_seconds(fingerprint),
            trial=trials.record if trials is not None else None,
        )

    def _hold(self, fingerprint: str, for_seconds: float) -> HeldRequest:
        ends = self._evidence.count(fingerprint)
        trials = self._trials.get(fingerprint)
        self._context.log.write(
            RequestHeldBack(
                fingerprint=fingerprint,
                ends=ends,
                trials=trials.record.trials if trials is not None else 0,
                for_seconds=round(for_seconds, 3),
            )
        )
        detail = f"held back: {ends} targets ended under this request"
        return HeldRequest(detail, self._context.now_seconds() + for_seconds)

    async def _wait_for_outcome(self, deadline_seconds: float) -> bool:
        """Wait until an investigation is closed; return False if the deadline passes first."""
        try:
            async with asyncio.timeout_at(deadline_seconds):
                await self.end_detector.resolved.wait()
        except TimeoutError:
            return False
        return True

    async def _claim(self, fingerprint: str, trial_due: TrialDue) -> bool:
        """Claim a trial in the key-value service; return whether it is known to be claimed."""
        if not await self._reporter.ensure_lease():
            return False
        known_trials = self._trials.get(fingerprint)
        key = TRIALS_PREFIX + fingerprint
        unchanged = Compare(key, "mod", known_trials.revision if known_trials is not None else 0)
        put = Operation(
            key, msgspec.json.encode(trial_due.claim), self._reporter.lease.lease_id or 0
        )
        result = await self._context.kv.txn([TxnPart((unchanged,), (put,), (key,))])
        self._context.store_reachability.record_result(self._context.now_seconds(), result)
        is_claimed = False
        if not isinstance(result, KvUnavailable) and result[0].succeeded:
            is_claimed = True
            self._trials[fingerprint] = _ClaimedTrials(trial_due.claim, result[0].revision)
        self._context.log.write(
            TrialClaimed(fingerprint=fingerprint, trial=trial_due.claim.trials, claimed=is_claimed)
        )
        return is_claimed

    async def _end_trials(self, fingerprint: str) -> None:
        known_trials = self._trials.pop(fingerprint, None)
        self._freed_trials.discard(fingerprint)
        if known_trials is None:
            return
        key = TRIALS_PREFIX + fingerprint
        unchanged = Compare(key, "mod", known_trials.revision)
        result = await self._context.kv.txn([TxnPart((unchanged,), (Operation(key, None),))])
        self._context.store_reachability.record_result(self._context.now_seconds(), result)

    def _record_end(self, end: TargetEnd) -> None:
        """Record that a target ended under runs of this daemon."""
        is_repeated = any(self._evidence.count(run) > 0 for run in end.fingerprints)
        self._own_ends.record_end(end.target, end.fingerprints, self._context.unix_seconds())
        self._reporter.schedule_report(ReportUrgency.NOW if is_repeated else ReportUrgency.SOON)

    def _record_own_ends(self, record: EndRecord) -> None:
        self._evidence.put_record(self._context.daemon_name, record)
