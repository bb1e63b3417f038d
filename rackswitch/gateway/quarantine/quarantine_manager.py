"""Holding back requests under which targets end, at this daemon."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from rackswitch.clients.kv import Compare, KvEntry, KvUnavailable, Operation, TxnPart
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.quarantine.end_detector import EndDetector
from rackswitch.gateway.quarantine.end_reporter import ENDS_PREFIX, EndReporter, Urgency
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.quarantine import (
    EndRecord,
    Evidence,
    HeldBack,
    LocalEnds,
    NotSuspected,
    Paced,
    Suspicion,
    TargetEnd,
    TrialDue,
    TrialRecord,
    judge,
)
from rackswitch.routing import ListedTarget
from rackswitch.telemetry.events import RequestAcquitted, RequestHeldBack, TrialClaimed

__all__ = ["TRIALS_PREFIX", "QuarantineManager", "RequestHeld"]

TRIALS_PREFIX = "control/trials/"

UNCLAIMED_PAUSE_SECONDS = 1.0
"""When to come back for a trial that could not be claimed: another daemon has it, or the service
is away, and the next look at this daemon's copy tells which."""

PACED_PAUSE_SECONDS = 0.2
"""When to come back if it was not known in time what became of other targets."""

MAX_GIVEN_BACK = 256


@dataclass(frozen=True, slots=True)
class RequestHeld:
    """A request that must not be sent now.

    Attributes
    ----------
    until_seconds : float
        From when it is worth another try (monotonic).
    """

    detail: str
    until_seconds: float


@dataclass(frozen=True, slots=True)
class _Trials:
    record: TrialRecord
    revision: int


class QuarantineManager:
    """Asked before each send of a request, and told how each ended.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    copies_complete : callable
        Whether this daemon knows what all daemons have told.

    Attributes
    ----------
    watch : EndDetector
        Finds out which targets have ended.
    """

    __slots__ = (
        "_context",
        "_copies_complete",
        "_evidence",
        "_given_back",
        "_own",
        "_teller",
        "_trials",
        "watch",
    )

    def __init__(self, context: GatewayContext, copies_complete: Callable[[], bool]):
        self._context = context
        self._evidence = Evidence()
        self._trials: dict[str, _Trials] = {}
        self._given_back: set[str] = set()
        self._copies_complete = copies_complete
        self._own = LocalEnds()
        self._teller = EndReporter(context, self._own, copies_complete, self._take_own)
        self.watch = EndDetector(context, self._ended)

    @property
    def knows_any(self) -> bool:
        """Whether any request is under suspicion: while none is, requests need no fingerprint."""
        return not self._evidence.is_empty or bool(self._trials) or self.watch.inquiries.any_open

    async def run(self) -> None:
        """Tell others of ends, until cancelled."""
        await self._teller.run()

    # What daemons tell each other

    def record_put(self, entry: KvEntry) -> None:
        """Take in a daemon's record of ends."""
        daemon = entry.key.removeprefix(ENDS_PREFIX)
        record = msgspec.json.decode(entry.value, type=EndRecord)
        if daemon != self._context.daemon_name:
            self._evidence.take(daemon, record)
        elif not self._copies_complete():
            # An earlier process of this daemon wrote it: this one writes nothing before that.
            self._teller.adopt(record)

    def record_deleted(self, key: str) -> None:
        """Note that a daemon's record is gone."""
        daemon = key.removeprefix(ENDS_PREFIX)
        if daemon == self._context.daemon_name:
            self._teller.lost()
        else:
            self._evidence.drop(daemon)

    def trial_put(self, entry: KvEntry) -> None:
        """Take in how often a request was on trial."""
        record = msgspec.json.decode(entry.value, type=TrialRecord)
        fingerprint = entry.key.removeprefix(TRIALS_PREFIX)
        self._trials[fingerprint] = _Trials(record, entry.mod_revision)

    def trial_deleted(self, key: str) -> None:
        """Note that a request is not on trial any more."""
        self._trials.pop(key.removeprefix(TRIALS_PREFIX), None)

    def told(self, request: pb.TellEndsRequest) -> pb.TellEndsReply:
        """Take in a record that a daemon tells directly."""
        record = msgspec.json.decode(request.record, type=EndRecord)
        if request.daemon != self._context.daemon_name:
            self._evidence.take(request.daemon, record)
        return pb.TellEndsReply()

    # Runs of requests

    async def admit(
        self,
        fingerprint_of: Callable[[], str],
        deadline_seconds: float,
        may_claim: bool = True,
    ) -> RequestHeld | None:
        """Return why a request must not be sent to any target now; None if it may be.

        Parameters
        ----------
        fingerprint_of : callable
            Returns the request's fingerprint; called only if any request is under suspicion.
        deadline_seconds : float
            How long to wait (monotonic) until it is known what became of other targets.
        may_claim : bool
            Whether the request is sent now, so that a trial is claimed if it needs one. Otherwise
            it is to be asked for again as it is sent.
        """
        if not self.knows_any:
            return None
        fingerprint = fingerprint_of()
        while True:
            now_unix_seconds = self._context.unix_seconds()
            verdict = judge(self._suspicion(fingerprint), now_unix_seconds)
            if isinstance(verdict, NotSuspected):
                return None
            if isinstance(verdict, Paced):
                if not await self._waited(deadline_seconds):
                    return self._held(fingerprint, PACED_PAUSE_SECONDS)
                continue
            if fingerprint in self._given_back:
                if may_claim:
                    self._given_back.discard(fingerprint)
                return None
            if isinstance(verdict, HeldBack):
                return self._held(fingerprint, verdict.until_unix_seconds - now_unix_seconds)
            if not may_claim or await self._claim(fingerprint, verdict):
                return None
            return self._held(fingerprint, UNCLAIMED_PAUSE_SECONDS)

    def broke(self, fingerprint: str, target: ListedTarget) -> None:
        """Note that a run of a request broke off at a target."""
        self.watch.broke(fingerprint, target)

    def answered(self, fingerprint_of: Callable[[], str]) -> None:
        """Note that a target has run a request and answered, so that it does not end targets."""
        if not self.knows_any:
            return
        fingerprint = fingerprint_of()
        self.watch.inquiries.acquit(fingerprint)
        ends = self._evidence.count(fingerprint)
        is_on_trial = fingerprint in self._trials
        if not ends and not is_on_trial:
            return
        # On a second end hangs whether this one is sent, and who else is left to blame.
        is_suspected = self._evidence.max_suspected_beside(fingerprint) > 1
        told_by_others = self._evidence.targets_told_by_others(
            fingerprint, self._context.daemon_name
        )
        self._own.acquit(fingerprint, told_by_others, self._context.unix_seconds())
        self._teller.changed(Urgency.NOW if is_suspected else Urgency.WITH_THE_NEXT)
        if is_on_trial:
            self._context.daemon.spawn(self._end_trials(fingerprint))
        self._context.log.write(RequestAcquitted(fingerprint=fingerprint, ends=ends))

    def not_run(self, fingerprint_of: Callable[[], str]) -> None:
        """Note that a target refused to begin a request, whose trial is still to be had then."""
        if not self._trials:
            return
        fingerprint = fingerprint_of()
        if fingerprint in self._trials and len(self._given_back) < MAX_GIVEN_BACK:
            self._given_back.add(fingerprint)

    def _suspicion(self, fingerprint: str) -> Suspicion:
        trials = self._trials.get(fingerprint)
        return Suspicion(
            ends=self._evidence.count(fingerprint),
            unknown=self.watch.inquiries.count(fingerprint),
            is_alone=self._evidence.is_alone(fingerprint),
            newest_end_unix_seconds=self._evidence.newest_unix_seconds(fingerprint),
            trial=trials.record if trials is not None else None,
        )

    def _held(self, fingerprint: str, for_seconds: float) -> RequestHeld:
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
        return RequestHeld(detail, self._context.now_seconds() + for_seconds)

    async def _waited(self, deadline_seconds: float) -> bool:
        """Wait for news of targets where runs broke; return False if it is too late for that."""
        try:
            async with asyncio.timeout_at(deadline_seconds):
                await self.watch.resolved.wait()
        except TimeoutError:
            return False
        return True

    async def _claim(self, fingerprint: str, due: TrialDue) -> bool:
        """Claim a trial; return whether this daemon surely has it."""
        if not await self._teller.hold_lease():
            return False
        known = self._trials.get(fingerprint)
        key = TRIALS_PREFIX + fingerprint
        unchanged = Compare(key, "mod", known.revision if known is not None else 0)
        put = Operation(key, msgspec.json.encode(due.claim), self._teller.lease.lease_id or 0)
        done = await self._context.kv.txn([TxnPart((unchanged,), (put,), (key,))])
        self._context.contact.note(self._context.now_seconds(), done)
        is_claimed = False
        if not isinstance(done, KvUnavailable) and done[0].succeeded:
            is_claimed = True
            self._trials[fingerprint] = _Trials(due.claim, done[0].revision)
        self._context.log.write(
            TrialClaimed(fingerprint=fingerprint, trial=due.claim.trials, claimed=is_claimed)
        )
        return is_claimed

    async def _end_trials(self, fingerprint: str) -> None:
        known = self._trials.pop(fingerprint, None)
        self._given_back.discard(fingerprint)
        if known is None:
            return
        key = TRIALS_PREFIX + fingerprint
        unchanged = Compare(key, "mod", known.revision)
        done = await self._context.kv.txn([TxnPart((unchanged,), (Operation(key, None),))])
        self._context.contact.note(self._context.now_seconds(), done)

    def _ended(self, end: TargetEnd) -> None:
        """Note that a target ended under runs of this daemon."""
        is_second = any(self._evidence.count(run) > 0 for run in end.fingerprints)
        self._own.ended(end.target, end.fingerprints, self._context.unix_seconds())
        self._teller.changed(Urgency.NOW if is_second else Urgency.SOON)

    def _take_own(self, record: EndRecord) -> None:
        self._evidence.take(self._context.daemon_name, record)
