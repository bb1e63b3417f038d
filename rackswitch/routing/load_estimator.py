"""What one daemon believes of the load of each target.

A word is a target's statement about its own load (`ReportedLoad`). A pace is how many times longer
than usual work takes at a target: 1 is as usual, 2 half as fast. A surprise is by how much longer a
request took than words alone had promised, as a logarithm.

What comes in, each with its time: words, sends and ends of this daemon's requests, how long these
took, and refusals. What comes out: places, which `rackswitch.routing.placing` chooses among.
"""

import math
from collections.abc import Set
from dataclasses import dataclass, field
from enum import Enum

from rackswitch.routing.directory import ListedTarget
from rackswitch.routing.reported_load import ReportedLoad
from rackswitch.routing.target_estimates import TargetEstimate

__all__ = ["LoadEstimator", "SentRequest", "WorkKind"]

MIN_FADE_SECONDS = 1.0
"""Least time over which what a word tells of others' requests fades, also where requests are
shorter: as others' requests end, others send new ones."""

PACE_MEMORY_SECONDS = 0.3
"""How long a told pace's difference from the learnt one lasts on average: it comes from other users
of the target's machine."""

LEARNING_SECONDS = 2.0
"""Span over which a target's usual pace is learnt: several times `PACE_MEMORY_SECONDS`, so that
passing noise averages out."""

LEARNT_LIFE_SECONDS = 10.0
"""Over which a learnt pace fades, without a word, towards the best of the service, so that a target
that was slow is tried again."""

SURPRISE_SPAN_SECONDS = 1.0
"""Span over which own requests' times against the expected ones are averaged."""

SURPRISE_LIFE_SECONDS = 3.0
"""Over which a surprise fades, so that a target that did worse than its word is tried again."""

MAX_SAMPLE_WEIGHT = 0.3
"""Weight of one observation at most, however long none came before it."""

MAX_LOG_SURPRISE = math.log(8.0)
"""Bound on how far observations may overrule a word, in both directions."""

FAILURE_LOG_SURPRISE = math.log(8.0)
"""A failed request counts as if its work had taken so many times longer: it is made again."""

USUAL_SMOOTHING = 0.05
"""Weight of one observation in a service's usual time: some twenty count."""

PIECE_SMOOTHING = 0.005
"""The same for the gaps between pieces: one text brings many, and must not decide alone."""

DEFAULT_SLOTS = 4
"""Requests side by side at a target whose slots nobody tells."""


class WorkKind(Enum):
    """What a piece of work is counted in."""

    CALL = "call"
    TEXT = "text"


FIRST_UNIT_SECONDS = {WorkKind.CALL: 0.05, WorkKind.TEXT: 0.04}
"""Time of a call, or of a piece of a text, before one was seen."""

FIRST_RUN_SECONDS = {WorkKind.CALL: 0.05, WorkKind.TEXT: 0.9}
"""Time of a whole request before one was seen."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request of this daemon that is on its way or worked on.

    Attributes
    ----------
    start, service : str
        Where it was sent.
    kind : WorkKind
        What its work is counted in.
    place : TargetEstimate
        What was believed of the target without it.
    log_surprise : float
        Part of the place's pace that came from observation, not from words; its logarithm.
    expected_seconds : float
        How long a usual request was believed to take there.
    sent_at_seconds : float
        When it was sent (monotonic).
    """

    start: str
    service: str
    kind: WorkKind
    place: TargetEstimate
    log_surprise: float
    expected_seconds: float
    sent_at_seconds: float

    def log_ratio_so_far(self, now_seconds: float) -> float:
        """Return the logarithm of how much longer than words said a usual request takes so far."""
        took_seconds = max(1e-4, now_seconds - self.sent_at_seconds)
        return math.log(took_seconds / self.expected_seconds) + self.log_surprise


@dataclass(slots=True)
class _LoadEstimate:
    """What is known of one start of a target.

    Attributes
    ----------
    word : ReportedLoad or None
        The last one.
    own : int
        Requests of this daemon that are there.
    pending : list of SentRequest
        The calls among them, oldest first.
    own_at_word : int
        How many of this daemon's were there when the last word came, which counts them too.
    learnt_pace : float or None
        The usual pace, from words; None before the first word that tells one.
    log_surprise : float
        Logarithm of how much longer work took than words said, at `surprised_at_seconds`.
    """

    word: ReportedLoad | None = None
    own: int = 0
    pending: list[SentRequest] = field(default_factory=list)
    own_at_word: int = 0
    learnt_pace: float | None = None
    pace_told_at_seconds: float = float("-inf")
    refused_at_seconds: float = float("-inf")
    log_surprise: float = 0.0
    surprised_at_seconds: float = float("-inf")

    def word_age_seconds(self, now_seconds: float) -> float:
        """Return the age of the last word; infinite if there is none."""
        if self.word is None:
            return math.inf
        return max(0.0, now_seconds - self.word.heard_at_seconds)

    def surprise_now(self, now_seconds: float) -> float:
        """Return the logarithm of how much longer work takes than words say."""
        age_seconds = now_seconds - self.surprised_at_seconds
        return self.log_surprise * math.exp(-max(0.0, age_seconds) / SURPRISE_LIFE_SECONDS)

    def overdue(self, now_seconds: float) -> float:
        """Return the logarithm of how much longer than words said the oldest call takes so far.

        A target that stands still tells nothing, and its calls' times come too late.
        """
        if not self.pending:
            return -math.inf
        return min(MAX_LOG_SURPRISE, self.pending[0].log_ratio_so_far(now_seconds))

    def correction_now(self, now_seconds: float) -> float:
        """Return the logarithm of how much longer than words say work is believed to take."""
        return max(self.surprise_now(now_seconds), self.overdue(now_seconds))

    def surprised(self, log_ratio: float, now_seconds: float) -> None:
        """Take in how a request's time compared with what words alone had promised."""
        before = self.surprise_now(now_seconds)
        since_seconds = max(0.0, now_seconds - self.surprised_at_seconds)
        weight = min(MAX_SAMPLE_WEIGHT, 1 - math.exp(-since_seconds / SURPRISE_SPAN_SECONDS))
        bounded = max(-MAX_LOG_SURPRISE, min(MAX_LOG_SURPRISE, log_ratio))
        self.log_surprise = before + weight * (bounded - before)
        self.surprised_at_seconds = now_seconds


@dataclass(slots=True)
class _Service:
    """What is known of all targets of a service together.

    Attributes
    ----------
    tells_pace : bool
        Whether one of them has told its pace.
    unit_seconds : dict of WorkKind to float
        Usual time of a call, or of a piece of a text, at pace 1.
    run_seconds : dict of WorkKind to float
        Usual time of a whole request at pace 1.
    learnt_paces : dict of str to float
        Usual pace, by start.
    best_pace : float
        The least of these; 1 if there is none.
    """

    tells_pace: bool = False
    unit_seconds: dict[WorkKind, float] = field(default_factory=FIRST_UNIT_SECONDS.copy)
    run_seconds: dict[WorkKind, float] = field(default_factory=FIRST_RUN_SECONDS.copy)
    learnt_paces: dict[str, float] = field(default_factory=dict)
    best_pace: float = 1.0

    def learnt(self, start: str, pace: float) -> None:
        """Keep the pace learnt of a start, and the best of all."""
        before = self.learnt_paces.get(start)
        self.learnt_paces[start] = pace
        if len(self.learnt_paces) == 1 or pace <= self.best_pace:
            self.best_pace = pace
        elif before == self.best_pace:
            self.best_pace = min(self.learnt_paces.values())

    def forget(self, start: str) -> None:
        """Drop the pace of a start that has gone."""
        if self.learnt_paces.pop(start, None) is not None:
            self.best_pace = min(self.learnt_paces.values(), default=1.0)


@dataclass(slots=True)
class LoadEstimator:
    """Beliefs about the targets' load, by start of a target.

    Another start under the same identity is another target: nothing of the old one counts.
    """

    _beliefs: dict[str, _LoadEstimate] = field(default_factory=dict)
    _services: dict[str, _Service] = field(default_factory=dict)

    def tells_pace(self, service: str) -> bool:
        """Return whether a target of a service has told its pace."""
        known = self._services.get(service)
        return known is not None and known.tells_pace

    def usual_run_seconds(self, service: str, kind: WorkKind) -> float:
        """Return how long a whole request of a service takes at pace 1."""
        known = self._services.get(service)
        return known.run_seconds[kind] if known is not None else FIRST_RUN_SECONDS[kind]

    def heard(self, start: str, service: str, word: ReportedLoad) -> None:
        """Take in a target's word; what this daemon has there is in it."""
        belief = self._belief(start)
        if belief.word is not None and word.heard_at_seconds < belief.word.heard_at_seconds:
            return
        if word.pace is not None:
            self._learn_pace(belief, word, word.pace)
            known = self._service(service)
            known.tells_pace = True
            known.learnt(start, belief.learnt_pace or word.pace)
        belief.word = word
        belief.own_at_word = belief.own

    def refused(self, start: str, now_seconds: float) -> None:
        """Note that a target did not begin a request: newer than its word, whatever that said."""
        self._belief(start).refused_at_seconds = now_seconds

    def sent(
        self, target: ListedTarget, kind: WorkKind, place: TargetEstimate, now_seconds: float
    ) -> SentRequest:
        """Count a request of this daemon in."""
        belief = self._belief(target.start)
        belief.own += 1
        run_seconds = self.usual_run_seconds(target.service, kind)
        sent = SentRequest(
            start=target.start,
            service=target.service,
            kind=kind,
            place=place,
            log_surprise=belief.correction_now(now_seconds),
            expected_seconds=place.finish_seconds(1.0, run_seconds),
            sent_at_seconds=now_seconds,
        )
        if kind is WorkKind.CALL:
            belief.pending.append(sent)
        return sent

    def done(self, sent: SentRequest, goes_on: bool = False) -> None:
        """Count a request of this daemon out, however it ended.

        Parameters
        ----------
        sent : SentRequest
            The request.
        goes_on : bool, optional
            Whether the target still works on it, unseen from here: it counts then as one of
            others', until the word that tells of it has faded.
        """
        belief = self._beliefs.get(sent.start)
        if belief is None:
            return
        belief.own = max(0, belief.own - 1)
        belief.pending = [other for other in belief.pending if other is not sent]
        if goes_on:
            belief.own_at_word = max(0, belief.own_at_word - 1)

    def worked(self, sent: SentRequest, units: float, now_seconds: float) -> None:
        """Learn from the time that a served request took.

        Parameters
        ----------
        sent : SentRequest
            The request.
        units : float
            Its work: 1 for a call, or the pieces of a text.
        now_seconds : float
            When it was through (monotonic).
        """
        took_seconds = max(1e-4, now_seconds - sent.sent_at_seconds)
        belief = self._belief(sent.start)
        service = self._service(sent.service)
        run_seconds = service.run_seconds[sent.kind]
        if sent.place.wait_seconds(run_seconds) == 0.0:
            self._learn_usual(sent, took_seconds)
        if sent.kind is WorkKind.CALL:
            expected_seconds = sent.place.finish_seconds(units, run_seconds)
            log_ratio = math.log(took_seconds / expected_seconds)
            belief.surprised(log_ratio + sent.log_surprise, now_seconds)

    def given_up(self, sent: SentRequest, now_seconds: float) -> None:
        """Learn from a call that nobody waits for any more: it takes at least as long as it did."""
        belief = self._belief(sent.start)
        log_ratio = sent.log_ratio_so_far(now_seconds)
        if log_ratio > max(0.0, belief.surprise_now(now_seconds)):
            belief.surprised(log_ratio, now_seconds)

    def piece(self, start: str, service: str, gap_seconds: float, now_seconds: float) -> None:
        """Learn from the gap between two pieces of a text."""
        belief = self._belief(start)
        units = self._service(service).unit_seconds
        pace = self._word_pace(belief, service, 0.0, now_seconds)
        at_usual_seconds = max(1e-4, gap_seconds) / pace
        usual_seconds = units[WorkKind.TEXT]
        log_ratio = math.log(at_usual_seconds / usual_seconds)
        belief.surprised(log_ratio, now_seconds)
        bounded = max(-1.0, min(1.0, log_ratio))
        units[WorkKind.TEXT] = usual_seconds * math.exp(PIECE_SMOOTHING * bounded)

    def failed(self, start: str, now_seconds: float) -> None:
        """Note an answer that served nobody: a target that fails fast must not look fast."""
        self._belief(start).surprised(FAILURE_LOG_SURPRISE, now_seconds)

    def forget(self, start: str) -> None:
        """Drop what is known of a start that has gone."""
        self._beliefs.pop(start, None)
        for service in self._services.values():
            service.forget(start)

    def starts(self) -> set[str]:
        """Return the starts of which anything is known."""
        known = set(self._beliefs)
        return known.union(*(service.learnt_paces for service in self._services.values()))

    def keep_only(self, starts: Set[str]) -> None:
        """Drop what is known of all other starts, also what came late of those that have gone."""
        for start in self.starts() - starts:
            self.forget(start)

    def place(
        self,
        target: ListedTarget,
        kind: WorkKind,
        units: float,
        now_seconds: float,
        arrival_seconds: float = 0.0,
        is_at_hand: bool = False,
    ) -> TargetEstimate:
        """Return what a place at a target is worth now.

        Parameters
        ----------
        target : ListedTarget
            The target.
        kind, units : WorkKind, float
            The work to be placed.
        now_seconds : float
            Monotonic clock.
        arrival_seconds : float, optional
            Network distance there and back.
        is_at_hand : bool, optional
            Whether a connection rests there.
        """
        belief = self._beliefs.get(target.start) or _LoadEstimate()
        service = self._services.get(target.service) or _Service()
        unit_seconds = service.unit_seconds[kind]
        run_seconds = service.run_seconds[kind]
        pace = self._word_pace(belief, target.service, units * unit_seconds, now_seconds)
        pace *= math.exp(belief.correction_now(now_seconds))
        slots = _slots(belief, target)
        requests = _requests(belief, slots, max(MIN_FADE_SECONDS, run_seconds), now_seconds)
        return TargetEstimate(
            instance=target.instance,
            slots=slots,
            running=min(requests, slots),
            waiting=max(0.0, requests - slots),
            pace=pace,
            unit_seconds=unit_seconds,
            word_age_seconds=belief.word_age_seconds(now_seconds),
            arrival_seconds=arrival_seconds,
            is_at_hand=is_at_hand,
        )

    def usual_units(self, service: str, kind: WorkKind) -> float:
        """Return the work of a usual request of a service."""
        known = self._services.get(service) or _Service()
        return known.run_seconds[kind] / known.unit_seconds[kind]

    def _belief(self, start: str) -> _LoadEstimate:
        return self._beliefs.setdefault(start, _LoadEstimate())

    def _service(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())

    def _learn_pace(self, belief: _LoadEstimate, word: ReportedLoad, pace: float) -> None:
        """Move the learnt pace towards a word's, by the time that the word stands for."""
        before = belief.learnt_pace
        since_seconds = word.heard_at_seconds - belief.pace_told_at_seconds
        belief.pace_told_at_seconds = word.heard_at_seconds
        if before is None:
            belief.learnt_pace = pace
            return
        weight = 1 - math.exp(-since_seconds / LEARNING_SECONDS)
        belief.learnt_pace = before + weight * (pace - before)
        self._explain_surprise(belief, pace)

    def _explain_surprise(self, belief: _LoadEstimate, pace: float) -> None:
        """Take off a surprise what a word now says itself, so that it does not count twice.

        Own requests that took twice as long as told make a surprise of log 2. If the next word
        tells twice the pace of the last one, it explains that, and nothing of the surprise is left.
        """
        told = belief.word.pace if belief.word is not None else None
        if told is None:
            return
        explained = math.log(pace / told)
        if explained * belief.log_surprise > 0:
            left = max(0.0, abs(belief.log_surprise) - abs(explained))
            belief.log_surprise = math.copysign(left, belief.log_surprise)

    def _word_pace(
        self, belief: _LoadEstimate, service: str, work_seconds: float, now_seconds: float
    ) -> float:
        """Return the pace over some work to come, by words alone.

        A word's difference from the learnt pace decays from the moment when it was said, and
        counts by its mean over the work: noise is over before a long text is.
        """
        # Taken for worse than the best, a target without a word would never be tried.
        best = self._services[service].best_pace if service in self._services else 1.0
        word = belief.word
        if word is None or belief.learnt_pace is None:
            return best
        age_seconds = max(0.0, now_seconds - belief.pace_told_at_seconds)
        learnt_share = math.exp(-age_seconds / LEARNT_LIFE_SECONDS)
        learnt = best + (belief.learnt_pace - best) * learnt_share
        if word.pace is None:
            return learnt
        share = math.exp(-age_seconds / PACE_MEMORY_SECONDS) * _mean_decay(work_seconds)
        return learnt + (word.pace - belief.learnt_pace) * share * learnt_share

    def _learn_usual(self, sent: SentRequest, took_seconds: float) -> None:
        """Move a service's usual times towards a request's that waited for nothing."""
        service = self._service(sent.service)
        usual_seconds = service.run_seconds[sent.kind]
        log_ratio = math.log(took_seconds / sent.place.pace / usual_seconds)
        bounded = max(-1.0, min(1.0, log_ratio))
        service.run_seconds[sent.kind] = usual_seconds * math.exp(USUAL_SMOOTHING * bounded)
        if sent.kind is WorkKind.CALL:
            service.unit_seconds[sent.kind] = service.run_seconds[sent.kind]


def _mean_decay(work_seconds: float) -> float:
    """Return how much of a word's news is left on average over some work that begins now."""
    spans = work_seconds / PACE_MEMORY_SECONDS
    return (1 - math.exp(-spans)) / spans if spans > 1e-6 else 1.0


def _slots(belief: _LoadEstimate, target: ListedTarget) -> int:
    if belief.word is not None:
        return belief.word.slots
    return target.slots or DEFAULT_SLOTS


def _requests(belief: _LoadEstimate, slots: int, life_seconds: float, now_seconds: float) -> float:
    """Return how many requests of all daemons are believed to be at a target."""
    others = 0.0
    if belief.word is not None:
        told = belief.word.running + belief.word.waiting
        if belief.word.waiting and belief.word.running < slots:
            # One that queues with free slots lacks something else: it is as good as full.
            told = slots + belief.word.waiting
        age_seconds = belief.word_age_seconds(now_seconds)
        others = max(0, told - belief.own_at_word) * math.exp(-age_seconds / life_seconds)
    word_at_seconds = belief.word.heard_at_seconds if belief.word else float("-inf")
    if belief.refused_at_seconds >= word_at_seconds:
        age_seconds = max(0.0, now_seconds - belief.refused_at_seconds)
        others = max(others, 2 * slots * math.exp(-age_seconds / life_seconds))
    return belief.own + others
