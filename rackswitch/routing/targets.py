"""One daemon's state of a target: load, speed, health, cached prefixes."""

from collections import OrderedDict
from dataclasses import dataclass, field

from rackswitch.requests import StreamChunk, backoff_seconds
from rackswitch.routing.target_estimates import TargetEstimate

__all__ = ["LoadReport", "Target", "usable_targets"]

SPEED_SMOOTHING = 0.2
FAILURES_TO_OPEN = 3
OPEN_SECONDS = 2.0
MAX_OPEN_SECONDS = 30.0
MAX_PREFIXES = 4096
WARM_UP_SECONDS = 1.0
MIN_CLOSED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's report of its own load, received with an unknown delay."""

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
        Network delay from this daemon.
    speed_tokens_per_second : float
        Moving average of the rate at which one request's tokens arrive.
    open_until_seconds : float
        Until when the circuit breaker is open.
    idle_connection_until_seconds : float
        Until when a connection that served a call in its typical time stays open.
    start : str
        The start of the target that this state belongs to.
    estimate : TargetEstimate or None
        Its estimate at the last choice; None if its service reports no pace.
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
    open_count: int = 0
    warming_up_until_seconds: float = 0.0
    idle_connection_until_seconds: float = 0.0
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)
    start: str = ""
    estimate: TargetEstimate | None = None

    @property
    def version(self) -> int | None:
        """The version that the engine last reported, or None if it is unknown."""
        return self.report.version if self.report is not None else None

    def record_report(self, report: LoadReport) -> None:
        """Record a load report; a new version starts a warm-up."""
        if self.version is not None and report.version != self.version:
            self.warming_up_until_seconds = report.received_at_seconds + WARM_UP_SECONDS
            self.prefixes.clear()
        self.report = report
        self.own_tokens_at_report = self.own_tokens

    def record_chunk(self, chunk: StreamChunk, now_seconds: float) -> None:
        """Record the version, and the load if reported, that a chunk of an answer carries."""
        queued_tokens = chunk.queued_tokens
        if queued_tokens is None:
            if self.report is not None and self.report.version == chunk.version:
                return
            queued_tokens = self.outstanding_tokens()
        self.record_report(LoadReport(queued_tokens, chunk.version, False, now_seconds))

    def outstanding_tokens(self) -> float:
        """Return the estimated work that is queued or running, in tokens.

        A report includes this daemon's own work. The estimate adds what this daemon has sent since
        the report and subtracts what has ended.
        """
        reported = self.report.queued_tokens if self.report is not None else 0.0
        return max(self.own_tokens, reported + self.own_tokens - self.own_tokens_at_report)

    def record_start(self, cost_tokens: float, prefixes: tuple[int, ...]) -> None:
        """Record the start of a request."""
        self.own_requests += 1
        self.own_tokens += cost_tokens
        for prefix in prefixes:
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def record_end(self, cost_tokens: float) -> None:
        """Record the end of a request."""
        self.own_requests -= 1
        self.own_tokens = max(0.0, self.own_tokens - cost_tokens)

    def record_success(self, tokens: int, elapsed_seconds: float) -> None:
        """Record a complete answer and the time from its first token to its last.

        The token rate updates the speed estimate, which reveals an engine that answers but is slow.
        """
        self.failures = 0
        self.open_count = 0
        self.open_until_seconds = 0.0
        if tokens > 1 and elapsed_seconds > 0:
            rate = tokens / elapsed_seconds
            self.speed_tokens_per_second += SPEED_SMOOTHING * (rate - self.speed_tokens_per_second)

    def record_failure(self, now_seconds: float) -> None:
        """Record a failed attempt; several in a row open the circuit breaker."""
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            open_seconds = backoff_seconds(OPEN_SECONDS, MAX_OPEN_SECONDS, self.open_count)
            self.open_until_seconds = now_seconds + open_seconds
            self.open_count += 1
            # One more failure, of the probe that follows, opens it again.
            self.failures = FAILURES_TO_OPEN - 1

    def record_no_response(self, now_seconds: float) -> None:
        """Record that the target accepted no connection or stopped answering.

        A failed answer may concern one request only. Silence most likely affects the next request
        too, so it opens the circuit breaker at once.
        """
        self.failures = FAILURES_TO_OPEN
        self.record_failure(now_seconds)

    def has_idle_connection(self, now_seconds: float) -> bool:
        """Return whether an idle open connection exists that a call can use."""
        return self.own_requests == 0 and now_seconds < self.idle_connection_until_seconds

    def cached_share(self, prefixes: tuple[int, ...]) -> float:
        """Return the share of the prompt's prefix chunks that this daemon sent here recently."""
        if not prefixes:
            return 0.0
        hits = 0
        for prefix in prefixes:
            if prefix not in self.prefixes:
                break
            hits += 1
        return hits / len(prefixes)


def usable_targets(targets: list[Target], now_seconds: float) -> list[Target]:
    """Return the targets whose circuit breaker is closed, or all if those are too few.

    When most targets fail, the cause is more likely this daemon or the network, so the breakers
    never exclude more than half of the targets.
    """
    closed = [target for target in targets if now_seconds >= target.open_until_seconds]
    if len(closed) < MIN_CLOSED_SHARE * len(targets):
        return targets
    return closed
