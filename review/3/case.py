"""Streams of an engine that goes dark, beyond their route's time limit."""

import asyncio
import json
import sys
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (  # noqa: E402
    HOST,
    Answer,
    CannotRunError,
    Channel,
    Site,
    desired_state,
    run_case,
    trouble,
)

STREAMS = 36
TIMEOUT_SECONDS = 4.0
GOAL_SECONDS = 1.5
GAP_SECONDS = 4 * GOAL_SECONDS
SLACK_SECONDS = 0.5
WORK = json.dumps({"events": 20, "event_s": 0.1}).encode()

DRAFTS = {
    "name": "draft-stream",
    "host": HOST,
    "path_prefix": "/draft/",
    "kind": "streaming",
    "timeout_ms": round(TIMEOUT_SECONDS * 1000),
    "goal_ms": round(GOAL_SECONDS * 1000),
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

    answers = [Answer(f"stream{number:02d}") for number in range(STREAMS)]
    work = []
    for number, answer in enumerate(answers):
        channel = Channel(site.gateways[number % len(site.gateways)])
        await channel.open()
        work.append(
            asyncio.create_task(
                channel.send(
                    answer,
                    f"/draft/{answer.request_id}",
                    WORK,
                    15000,
                    GAP_SECONDS,
                    MODEL_HEADERS,
                )
            )
        )
    record.note(f"{STREAMS} streams sent; the route's timeout_ms is {TIMEOUT_SECONDS:.0f} s")
    await asyncio.sleep(0.8)
    dark = max(site.engines, key=lambda engine: len(engine.runs))
    if trouble():
        dark.is_dark = True
        record.note(f"{dark.name} goes dark for good with {len(dark.runs)} streams")
    await asyncio.wait(work)

    limit = TIMEOUT_SECONDS
    late = [answer for answer in answers if answer.ended - answer.sent > limit]
    unanswered = [answer for answer in late if answer.ended - answer.sent > limit + SLACK_SECONDS]
    for answer in answers:
        record.note(
            f"{answer.request_id} at {answer.status} {answer.events} events, "
            f"whole: {answer.is_whole}, ended after {answer.ended - answer.sent:.2f} s "
            f"{answer.detail}"
        )
    for run in dark.runs:
        record.note(f"{dark.name} ran {run.request_id}: {run.events} events, {run.ended}")
    record.note(
        f"{len(late)} streams ran past their route's timeout_ms; {len(unanswered)} of them had no "
        f"final answer {SLACK_SECONDS} s after it"
    )
    if not trouble() and not all(answer.is_whole for answer in answers):
        raise CannotRunError("a stream was not whole, without any disruption")
    return len(unanswered) >= 8 and len(unanswered) > len(late) / 4


run_case(Path(__file__).resolve().parent, play)
