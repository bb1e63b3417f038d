"""What one daemon knows about one target: load, speed, health, cached prefixes."""

from collections import OrderedDict
from dataclasses import dataclass, field

from rackswitch.requests import StreamChunk, backoff_seconds
from rackswitch.routing.target_estimates import TargetEstimate

__all__ = ["LoadReport", "Target", "usable_targets"]

SPEED_SMOOTHING = 0.2
FAILURES_TO_OPEN = 3
OPEN_SECONDS = 2.0
MAX_OPEN_SECONDS = 30.0
PREFIXES_REMEMBERED = 4096
WARM_UP_SECONDS = 1.0
MIN_CLOSED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own word about itself, late by an unknown lag."""

    queued_tokens: float
    version: int | None
    loading: bool
    received_at_seconds: float


@dataclass(slots=True)
class Target:
    """A target as one daemon sees it.

    Attributes
    ----------
    one_way_seconds : float
        Network distance from this daemon.
    speed_tokens_per_second : float
        Smoothed rate at which one request's tokens arrived lately.
    open_until_seconds : float
        Until when the circuit breaker keeps ordinary requests away.
    at_hand_until_seconds : float
        Until when a connection that served a call in its usual time stays open.
    start : str
        Which start of the target all this is about.
    place : TargetEstimate or None
        What a place there was worth at the last choice; None if its service tells no pace.
    """

    name: str
    url: str
    zone: str
    one_way_seconds: float = 0.0005
    report: LoadReport | None = None
    own_tokens: float = 0.0
    own_tokens_at_report: float = 0.0
    own_requests: int = 0
    speed_tokens_per_second: float = 200.0
    failures: int = 0
    open_until_seconds: float = 0.0
    opened_times: int = 0
    warm_until_seconds: float = 0.0
    at_hand_until_seconds: float = 0.0
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)
    start: str = ""
    place: TargetEstimate | None = None

    @property
    def version(self) -> int | None:
        """The version the engine last named, or None if it is not known."""
        return self.report.version if self.report is not None else None

    def take_report(self, report: LoadReport) -> None:
        """Take in a load report and note a version change as a warm-up."""
        if self.version is not None and report.version != self.version:
            self.warm_until_seconds = report.received_at_seconds + WARM_UP_SECONDS
            self.prefixes.clear()
        self.report = report
        self.own_tokens_at_report = self.own_tokens

    def saw_chunk(self, chunk: StreamChunk, now_seconds: float) -> None:
        """Learn the version, and the load if it is told, from a piece of an answer."""
        queued_tokens = chunk.queued_tokens
        if queued_tokens is None:
            if self.report is not None and self.report.version == chunk.version:
                return
            queued_tokens = self.outstanding_tokens()
        self.take_report(LoadReport(queued_tokens, chunk.version, False, now_seconds))

    def outstanding_tokens(self) -> float:
        """Return the work believed to be queued or running, in tokens.

        A report counts this daemon's own work too; what this daemon has added or seen
        finish since the report is corrected for.
        """
        reported = self.report.queued_tokens if self.report is not None else 0.0
        return max(self.own_tokens, reported + self.own_tokens - self.own_tokens_at_report)

    def begin(self, cost_tokens: float, prefixes: tuple[int, ...]) -> None:
        """Count a request in."""
        self.own_requests += 1
        self.own_tokens += cost_tokens
        for prefix in prefixes:
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > PREFIXES_REMEMBERED:
            self.prefixes.popitem(last=False)

    def end(self, cost_tokens: float) -> None:
        """Count a request out."""
        self.own_requests -= 1
        self.own_tokens = max(0.0, self.own_tokens - cost_tokens)

    def succeeded(self, tokens: int, elapsed_seconds: float) -> None:
        """Note a whole answer, and the time from its first token to its last.

        Its rate feeds the speed estimate; an engine that is slow, though it answers, shows
        here.
        """
        self.failures = 0
        self.opened_times = 0
        self.open_until_seconds = 0.0
        if tokens > 1 and elapsed_seconds > 0:
            rate = tokens / elapsed_seconds
            self.speed_tokens_per_second += SPEED_SMOOTHING * (rate - self.speed_tokens_per_second)

    def failed(self, now_seconds: float) -> None:
        """Note a failed attempt; enough of them in a row open the breaker for a while."""
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            life_seconds = backoff_seconds(OPEN_SECONDS, MAX_OPEN_SECONDS, self.opened_times)
            self.open_until_seconds = now_seconds + life_seconds
            self.opened_times += 1
            # One further failure, of the probe that follows, opens it again.
            self.failures = FAILURES_TO_OPEN - 1

    def went_silent(self, now_seconds: float) -> None:
        """Note that the target did not take a connection or stopped answering.

        Unlike a failed answer, which may concern one request, this opens the breaker at
        once: whatever is sent next would most likely wait in vain too.
        """
        self.failures = FAILURES_TO_OPEN
        self.failed(now_seconds)

    def is_at_hand(self, now_seconds: float) -> bool:
        """Return whether an open connection rests that a call can take."""
        return self.own_requests == 0 and now_seconds < self.at_hand_until_seconds

    def cached_share(self, prefixes: tuple[int, ...]) -> float:
        """Return which share of the prompt's prefix chunks this daemon sent here lately."""
        if not prefixes:
            return 0.0
        hits = 0
        for prefix in prefixes:
            if prefix not in self.prefixes:
                break
            hits += 1
        return hits / len(prefixes)


def usable_targets(targets: list[Target], now_seconds: float) -> list[Target]:
    """Return the targets whose breaker is closed, or all if that would leave too few.

    When most targets seem broken the cause is more likely here or in the network, so
    the breakers never take more than half of the set away.
    """
    closed = [target for target in targets if now_seconds >= target.open_until_seconds]
    if len(closed) < MIN_CLOSED_SHARE * len(targets):
        return targets
    return closed
