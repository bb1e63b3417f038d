"""Streams on kept channels while their gateway is stopped as planned."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (  # noqa: E402
    GRACE_SECONDS,
    HOST,
    Answer,
    CannotRunError,
    Channel,
    Site,
    desired_state,
    run_case,
    trouble,
)

CONSUMERS = 6
SENT_AFTER_SIGTERM_SECONDS = 3.4
LONG = json.dumps({"events": 50, "event_s": 0.1}).encode()
SHORT = json.dumps({"events": 3, "event_s": 0.05}).encode()

DRAFTS = {
    "name": "draft-stream",
    "host": HOST,
    "path_prefix": "/draft/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "goal_ms": 400,
    "priority": 1,
    "service": "drafters",
    "max_attempts": 1,
}
MODEL_HEADERS = {
    "X-Rackswitch-Model": "m0",
    "X-Rackswitch-Token-Counts": "271,200",
    "X-Rackswitch-Prompt-Prefix": "9c2e41:255,5d07b8:16",
}


async def play(site: Site, session: aiohttp.ClientSession) -> bool:
    """Play the case; return whether the rule was broken."""
    record = site.record
    site.store.put("op/config", desired_state(7, [DRAFTS]))
    for zone in ("pos-a", "pos-b", "pos-c"):
        site.add_engine(f"i-llm-{zone}", "drafters", zone, ("m0",))
        site.add_gateway(f"front-{zone}-1", zone)
    await site.start(session)
    await asyncio.sleep(4.0)
    gateway = site.gateways[0]

    channels = [Channel(gateway) for _ in range(CONSUMERS + 1)]
    for number, channel in enumerate(channels):
        await channel.open()
        first = Answer(f"first{number}")
        await channel.send(first, f"/draft/{number}", SHORT, 12000, more_headers=MODEL_HEADERS)
        if not first.is_whole or first.status != 200:
            raise CannotRunError(f"{first.request_id}: {first.status} {first.detail}")
    record.note(f"{len(channels)} consumers keep their channels to {gateway.name}")

    busy = Answer("busy")
    work = [
        asyncio.create_task(
            channels[-1].send(busy, "/draft/busy", LONG, 12000, more_headers=MODEL_HEADERS)
        )
    ]
    await asyncio.sleep(0.5)
    stopped = time.monotonic()
    if trouble():
        gateway.send_signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_SIGTERM_SECONDS)
    answers = [Answer(f"late{number}") for number in range(CONSUMERS)]
    work += [
        asyncio.create_task(
            channel.send(
                answer, f"/draft/{answer.request_id}", LONG, 12000, more_headers=MODEL_HEADERS
            )
        )
        for channel, answer in zip(channels, answers, strict=False)
    ]
    await asyncio.wait(work)
    if trouble():
        await gateway.wait_end(GRACE_SECONDS)

    runs = {run.request_id: run for engine in site.engines for run in engine.runs}
    cut: list[str] = []
    for answer in (busy, *answers):
        run = runs.get(answer.request_id)
        ran = f"its engine sent {run.events} events and then: {run.ended}" if run else "never run"
        record.note(
            f"{answer.request_id}: sent {answer.sent - stopped:.2f} s after the SIGTERM, status "
            f"{answer.status}, {answer.events} events, whole: {answer.is_whole}, ended "
            f"{answer.ended - stopped:.2f} s after it {answer.detail}; {ran}"
        )
        if answer in answers and run is not None and not answer.is_whole:
            cut.append(answer.request_id)
    record.note(f"passed on to an engine and cut without a complete answer: {cut}")
    if not trouble() and not all(answer.is_whole for answer in answers):
        raise CannotRunError("a stream was not whole, without any disruption")
    return bool(cut)


run_case(Path(__file__).resolve().parent, play)
