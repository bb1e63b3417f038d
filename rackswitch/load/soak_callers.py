"""Callers of a soak, which keep a connection open to a daemon until its process is gone."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass

import aiohttp

from rackswitch.load.daemon_process import DaemonProcess, Life
from rackswitch.load.soak_site import SoakSite, added_path
from rackswitch.platform.names import DEADLINE_HEADER, REQUEST_ID_HEADER, STAMP_HEADER
from rackswitch.standins.platform_fleet import HOST

__all__ = ["CallSeen", "SoakCallers", "call_once"]

CALLERS = 12
BURST_CALLERS = 120
MEAN_PAUSE_SECONDS = 0.05
DEADLINE_MS = 1500
GIVEN_UP_SECONDS = 4.0
SENT_BEFORE_END_SECONDS = 1.0
"""A process ends some tenths of a second after its last connection: a request sent so long before
that came while the daemon still read its connections."""

MAY_HAVE_RUN = frozenset((502, 504))
"""A 500 would be the daemon's own, since no target here answers so."""

NOT_RUN = frozenset((408, 429, 503))
MAX_RUNS = {"look": 3, "lodge": 1, "added": 3}
"""As the operator's table says of the routes."""


@dataclass(frozen=True, slots=True)
class CallSeen:
    """A caller's request and what came back.

    Attributes
    ----------
    status : int
        0 if the connection ended without an answer, or none came in time.
    """

    request_id: str
    kind: str
    status: int
    daemon: str
    detail: str = ""


async def call_once(
    session: aiohttp.ClientSession, daemon: DaemonProcess, path: str, request_id: str
) -> CallSeen:
    """Send a request whose answer can be told from each other request's, and check that.

    Raises
    ------
    aiohttp.ClientError, OSError, TimeoutError
        If no whole answer comes.
    """
    kind = path.split("/")[1]
    body = f"body of {request_id}".encode()
    headers = {
        "Host": HOST,
        REQUEST_ID_HEADER: request_id,
        DEADLINE_HEADER: str(DEADLINE_MS),
    }
    async with session.post(daemon.url + path, data=body, headers=headers) as answer:
        content = await answer.read()
    if answer.status != 200:
        return CallSeen(request_id, kind, answer.status, daemon.name, content.decode()[:80])
    stamp = answer.headers.get(STAMP_HEADER, "")
    if content != b"answer to " + body or not stamp.endswith(f"-{request_id}"):
        foreign = f"foreign: {content[:60]!r} {stamp!r}"
        return CallSeen(request_id, kind, 200, daemon.name, foreign)
    return CallSeen(request_id, kind, 200, daemon.name)


class SoakCallers:
    """Callers and what they have seen.

    Parameters
    ----------
    site : SoakSite
        Whom they call.
    seed : int
        Of their pauses and choices.

    Attributes
    ----------
    seen : list of CallSeen
        All requests that ended.
    answers : Counter
        How many of each status and text.
    """

    def __init__(self, site: SoakSite, seed: int):
        self.seen: list[CallSeen] = []
        self.answers: Counter[str] = Counter()
        self._site = site
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._cut: list[tuple[CallSeen, Life, float]] = []
        self._in_force: dict[str, int] = {}
        """By daemon, the newest version of the table that an answer of it has shown."""

    async def run(self) -> None:
        """Call until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(CALLERS):
                tasks.create_task(self._call_for_ever())
            while True:
                await self._site.burst.wait()
                self._site.burst.clear()
                for _ in range(BURST_CALLERS):
                    tasks.create_task(self._call_in_a_burst())

    def check(self) -> list[str]:
        """Return what must not have been seen by now."""
        runs = Counter(
            run.request_id for target in self._site.targets for run in target.stand_in.runs
        )
        return [
            *self._check_answers(runs),
            *self._check_cuts(),
        ]

    def _check_answers(self, runs: Counter[str]) -> list[str]:
        found: list[str] = []
        for seen in self.seen:
            count = runs[seen.request_id]
            said = f"{seen.request_id} at {seen.daemon}: {seen.status} {seen.detail}"
            if count > MAX_RUNS[seen.kind]:
                found.append(f"{said}, ran {count} times")
            if seen.status == 200 and (seen.detail or not count):
                found.append(f"{said}, ran {count} times, not its own answer")
            if seen.status in NOT_RUN and count:
                found.append(f"{said}, called not run and ran {count} times")
            not_yet = seen.kind == "added" and seen.status == 404
            if not not_yet and seen.status not in (0, 200, *NOT_RUN, *MAY_HAVE_RUN):
                found.append(f"{said}, no status for a request that is in order")
        return found

    def _check_cuts(self) -> list[str]:
        """Return requests that a planned stop, and nothing else, has cut."""
        return [
            f"{seen.request_id} was cut by the planned stop of {seen.daemon}: {seen.detail}"
            for seen, life, sent_seconds in self._cut
            if life.stop_ordered_seconds is not None
            and life.ended_seconds is not None
            and not life.disturbed
            and sent_seconds < life.ended_seconds - SENT_BEFORE_END_SECONDS
        ]

    async def _call_for_ever(self) -> None:
        async with _session(1) as session:
            daemon = self._rng.choice(self._site.daemons)
            while True:
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_SECONDS))
                seen = await self._call(session, daemon)
                if seen.status == 0:
                    daemon = self._rng.choice(self._site.daemons)

    async def _call_in_a_burst(self) -> None:
        async with _session(1) as session:
            await self._call(session, self._rng.choice(self._site.daemons))

    async def _call(self, session: aiohttp.ClientSession, daemon: DaemonProcess) -> CallSeen:
        number = next(self._numbers)
        kind = self._rng.choice(("look", "lodge", "added"))
        version = self._site.table_version
        if kind == "added" and version == 1:
            kind = "look"
        path = added_path(version) if kind == "added" else f"/{kind}/"
        request_id = f"{kind}-{number}"
        life, sent_seconds = daemon.life, asyncio.get_running_loop().time()
        in_force = self._in_force.get(daemon.name, 1)
        try:
            seen = await call_once(session, daemon, f"{path}{number}", request_id)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            seen = CallSeen(request_id, kind, 0, daemon.name, type(error).__name__)
            if not isinstance(error, aiohttp.ClientConnectorError):
                self._cut.append((seen, life, sent_seconds))
        if kind == "added" and seen.status == 200:
            self._in_force[daemon.name] = max(version, self._in_force.get(daemon.name, 1))
        if kind == "added" and seen.status == 404 and in_force >= version:
            self._site.violations.append(f"{daemon.name}: table {version} was in force and is not")
        self.seen.append(seen)
        self.answers[f"{seen.status} {seen.detail.partition(' for ')[0]}".strip()] += 1
        return seen


def _session(connections: int) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=connections),
        timeout=aiohttp.ClientTimeout(total=GIVEN_UP_SECONDS),
    )
