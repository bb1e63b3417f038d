"""Requests that must not be repeated, and a crash of the engine that runs them."""

import asyncio
import json
import sys
import time
from collections import defaultdict
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (  # noqa: E402
    HOST,
    Answer,
    CannotRunError,
    Channel,
    Run,
    Site,
    desired_state,
    run_case,
    trouble,
)

CONSUMERS = 24
PLAY_SECONDS = 5.0
CRASH_AFTER_SECONDS = 2.0
WORK = json.dumps({"work_s": 0.3}).encode()

LODGE = {
    "name": "lodge-return",
    "host": HOST,
    "path_prefix": "/returns/",
    "kind": "unsafe",
    "timeout_ms": 3000,
    "goal_ms": 600,
    "priority": 1,
    "service": "filing-desk",
    "max_attempts": 2,
}


async def lodge(site: Site, number: int, answers: list[Answer]) -> None:
    """Lodge one return after the other, each with a PUT, and send none of them again."""
    until = time.monotonic() + PLAY_SECONDS
    channel = Channel(site.gateways[number % len(site.gateways)])
    await channel.open()
    sent = 0
    while time.monotonic() < until:
        answer = Answer(f"return{number:02d}x{sent}")
        sent += 1
        answers.append(answer)
        path = f"/returns/{answer.request_id}"
        await channel.send(answer, path, WORK, 3000, method="PUT")
        if not answer.is_whole or answer.headers.get("connection") == "close":
            channel.close()
            channel = Channel(channel.gateway)
            await channel.open()
    channel.close()


async def play(site: Site, session: aiohttp.ClientSession) -> bool:
    """Play the case; return whether the rule was broken."""
    record = site.record
    site.store.put("op/config", desired_state(7, [LODGE]))
    for zone in ("pos-a", "pos-b", "pos-c"):
        site.add_engine(f"i-desk-{zone}-1", "filing-desk", zone)
        site.add_engine(f"i-desk-{zone}-2", "filing-desk", zone)
        site.add_gateway(f"front-{zone}-1", zone)
    await site.start(session)
    await asyncio.sleep(4.0)

    answers: list[Answer] = []
    work = [asyncio.create_task(lodge(site, number, answers)) for number in range(CONSUMERS)]
    await asyncio.sleep(CRASH_AFTER_SECONDS)

    def working(engine_runs: list[Run]) -> int:
        return sum(run.ended == "still running" for run in engine_runs)

    if trouble():
        engine = max(site.engines, key=lambda one: working(one.runs))
        record.note(f"{engine.name} crashes with {working(engine.runs)} requests at work")
        engine.crash()
    await asyncio.gather(*work)

    runs: dict[str, list[str]] = defaultdict(list)
    for engine in site.engines:
        for run in engine.runs:
            runs[run.request_id].append(f"{engine.name}, {run.ended}")
    twice = [answer for answer in answers if len(runs[answer.request_id]) > 1]
    for answer in answers:
        if answer in twice or answer.status != 200:
            record.note(
                f"{answer.request_id}: status {answer.status} {answer.detail or answer.body!r}; "
                f"run by {runs[answer.request_id]}"
            )
    record.note(
        f"{len(answers)} requests sent once each, {sum(one.status == 200 for one in answers)} "
        f"answered with 200; {len(twice)} of them ran twice or more"
    )
    if not trouble() and any(answer.status != 200 for answer in answers):
        raise CannotRunError("a request failed, without any disruption")
    return bool(twice)


run_case(Path(__file__).resolve().parent, play)
