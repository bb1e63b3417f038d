"""Callers of a soak; each keeps its connection to a daemon until that connection fails."""

import asyncio
import itertools
import random
import re
from collections import Counter
from dataclasses import dataclass

import aiohttp

from rackswitch.clients.http import HttpSession
from rackswitch.load.daemon_process import DaemonProcess, ProcessRecord
from rackswitch.load.soak_site import SoakSite, added_path
from rackswitch.platform.names import DEADLINE_HEADER, REQUEST_ID_HEADER, STAMP_HEADER
from rackswitch.standins.platform_fleet import HOST, MODEL

__all__ = ["CallRecord", "SoakCallers", "call_once"]

MODEL_HEADER = "X-Rackswitch-Model"
EVENT_ID_PATTERN = re.compile(r"^id: (\d+)$", re.MULTILINE)
CALLERS = 12
BURST_CALLERS = 120
MEAN_CALL_INTERVAL_SECONDS = 0.05
DEADLINE_MS = 1500
CLIENT_TIMEOUT_SECONDS = 4.0
MIN_SENT_BEFORE_EXIT_SECONDS = 1.0
"""Minimum time between a request and the exit of the process for the daemon to have accepted
the request; a process exits shortly after it closes its connections."""

MAY_HAVE_RUN = frozenset((502, 504))
"""Excludes 500, which no target sends here, so it would be a fault of the daemon."""

NOT_RUN = frozenset((408, 429, 503))
UNSAFE_METHODS = ("POST", "PUT", "DELETE")
CALL_KINDS = 3 * ("look", "lodge", "added") + ("draft",)
MAX_STREAM_EVENTS = 1200
"""Takes an engine some six seconds."""

STREAM_DEADLINE_MS = 12_000
STREAM_TIMEOUT_SECONDS = 15.0
"""Above the stream's deadline."""

MAX_RUNS = {"look": 3, "lodge": 1, "added": 3, "draft": 1}
"""Maximum number of attempts of each route in the operator's table."""


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A caller's request and its outcome.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection failed or the request timed out.
    detail : str
        Start of an error response, the error's class, or the wrong content of a response.
    """

    request_id: str
    kind: str
    status: int
    daemon: str
    detail: str = ""


async def call_once(
    session: HttpSession, daemon: DaemonProcess, path: str, request_id: str, method: str = "POST"
) -> CallRecord:
    """Send a request with a unique body and check that the response belongs to it.

    Raises
    ------
    aiohttp.ClientError, OSError, TimeoutError
        If no complete response is received.
    """
    kind = path.split("/")[1]
    body = f"body of {request_id}".encode()
    headers = {
        "Host": HOST,
        REQUEST_ID_HEADER: request_id,
        DEADLINE_HEADER: str(DEADLINE_MS),
    }
    url = daemon.url + path
    async with session.request(method, url, data=body, headers=headers) as response:
        content = await response.read()
    if response.status != 200:
        return CallRecord(request_id, kind, response.status, daemon.name, content.decode()[:80])
    stamp = response.headers.get(STAMP_HEADER, "")
    if content != b"answer to " + body or not stamp.endswith(f"-{request_id}"):
        foreign = f"foreign: {content[:60]!r} {stamp!r}"
        return CallRecord(request_id, kind, 200, daemon.name, foreign)
    return CallRecord(request_id, kind, 200, daemon.name)


async def stream_once(
    session: HttpSession, daemon: DaemonProcess, path: str, request_id: str, events: int
) -> CallRecord:
    """Request a stream of events and check that it is complete.

    Raises
    ------
    aiohttp.ClientError, OSError, TimeoutError
        If no complete response is received.
    """
    headers = {
        "Host": HOST,
        REQUEST_ID_HEADER: request_id,
        DEADLINE_HEADER: str(STREAM_DEADLINE_MS),
        MODEL_HEADER: MODEL,
    }
    timeout = aiohttp.ClientTimeout(total=STREAM_TIMEOUT_SECONDS)
    async with session.post(
        daemon.url + path, data=str(events).encode(), headers=headers, timeout=timeout
    ) as response:
        content = await response.read()
    if response.status != 200:
        return CallRecord(request_id, "draft", response.status, daemon.name, content.decode()[:80])
    numbers = [int(number) for number in EVENT_ID_PATTERN.findall(content.decode())]
    detail = "" if numbers == list(range(1, events + 1)) else f"foreign: events {numbers[-3:]}"
    return CallRecord(request_id, "draft", 200, daemon.name, detail)


class SoakCallers:
    """Sends calls to the daemons and checks their outcomes.

    Parameters
    ----------
    site : SoakSite
        Test environment that they call.
    seed : int
        Seed of their intervals and choices.

    Attributes
    ----------
    records : list of CallRecord
        All requests that ended.
    answers : Counter
        Number of responses by status and text.
    checks_streams : bool
        Whether streams that are cut by a planned stop are violations; not while targets fail.
    """

    def __init__(self, site: SoakSite, seed: int):
        self.records: list[CallRecord] = []
        self.answers: Counter[str] = Counter()
        self.checks_streams = False
        self._site = site
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._interrupted_calls: list[tuple[CallRecord, ProcessRecord, float]] = []
        self._newest_known_versions: dict[str, int] = {}
        """Newest table version that each daemon is known to have applied."""

    async def run(self) -> None:
        """Call until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(CALLERS):
                tasks.create_task(self._call_repeatedly())
            while True:
                await self._site.burst.wait()
                self._site.burst.clear()
                for _ in range(BURST_CALLERS):
                    tasks.create_task(self._call_once_in_burst())

    def check(self) -> list[str]:
        """Return the violations found so far."""
        runs = Counter(
            run.request_id for target in self._site.targets for run in target.stand_in.runs
        )
        return [
            *self._check_answers(runs),
            *self._check_interrupted_calls(),
        ]

    def _check_answers(self, runs: Counter[str]) -> list[str]:
        violations: list[str] = []
        for record in self.records:
            count = runs[record.request_id]
            summary = f"{record.request_id} at {record.daemon}: {record.status} {record.detail}"
            if count > MAX_RUNS[record.kind]:
                violations.append(f"{summary}, ran {count} times")
            if record.status == 200 and (record.detail or not count):
                violations.append(f"{summary}, ran {count} times, not its own response")
            if record.status in NOT_RUN and count:
                violations.append(f"{summary}, reported as not run but ran {count} times")
            is_route_pending = record.kind == "added" and record.status == 404
            if not is_route_pending and record.status not in (0, 200, *NOT_RUN, *MAY_HAVE_RUN):
                violations.append(f"{summary}, unexpected status for a valid request")
        return violations

    def _check_interrupted_calls(self) -> list[str]:
        """Return violations: requests interrupted by a planned stop and no other fault."""
        return [
            f"{record.request_id} interrupted by planned stop of {record.daemon}: {record.detail}"
            for record, process_record, sent_seconds in self._interrupted_calls
            if process_record.stop_requested_seconds is not None
            and process_record.ended_seconds is not None
            and not process_record.disturbed
            and sent_seconds < process_record.ended_seconds - MIN_SENT_BEFORE_EXIT_SECONDS
            # A stream from before the stop may take longer than the stop.
            and (record.kind != "draft" or sent_seconds > process_record.stop_requested_seconds)
        ]

    async def _call_repeatedly(self) -> None:
        async with _session(1) as session:
            daemon = self._rng.choice(self._site.daemons)
            while True:
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_CALL_INTERVAL_SECONDS))
                record = await self._call(session, daemon)
                if record.status == 0:
                    daemon = self._rng.choice(self._site.daemons)

    async def _call_once_in_burst(self) -> None:
        async with _session(1) as session:
            await self._call(session, self._rng.choice(self._site.daemons))

    async def _call(self, session: HttpSession, daemon: DaemonProcess) -> CallRecord:
        number = next(self._numbers)
        kind = self._rng.choice(CALL_KINDS)
        version = self._site.table_version
        if kind == "added" and version == 1:
            kind = "look"
        path = added_path(version) if kind == "added" else f"/{kind}/"
        request_id = f"{kind}-{number}"
        process_record, sent_seconds = daemon.process_record, asyncio.get_running_loop().time()
        known_version = self._newest_known_versions.get(daemon.name, 1)
        method = self._rng.choice(UNSAFE_METHODS) if kind == "lodge" else "POST"
        events = self._rng.randint(1, MAX_STREAM_EVENTS)
        url_path = f"{path}{number}"
        try:
            if kind == "draft":
                record = await stream_once(session, daemon, url_path, request_id, events)
            else:
                record = await call_once(session, daemon, url_path, request_id, method)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            record = CallRecord(request_id, kind, 0, daemon.name, type(error).__name__)
            is_checked = kind != "draft" or self.checks_streams
            if is_checked and not isinstance(error, aiohttp.ClientConnectorError):
                self._interrupted_calls.append((record, process_record, sent_seconds))
        if kind == "added" and record.status == 200:
            self._newest_known_versions[daemon.name] = max(
                version, self._newest_known_versions.get(daemon.name, 1)
            )
        if kind == "added" and record.status == 404 and known_version >= version:
            self._site.violations.append(
                f"{daemon.name}: table {version} was applied before and is not now"
            )
        self.records.append(record)
        self.answers[f"{record.status} {record.detail.partition(' for ')[0]}".strip()] += 1
        return record


def _session(connections: int) -> HttpSession:
    return HttpSession(
        aiohttp.TCPConnector(limit=connections),
        timeout=aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_SECONDS),
    )
