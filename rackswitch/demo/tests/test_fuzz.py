"""Guards against wrong responses and leaked slots after malformed requests."""

import asyncio
import json
import random

import aiohttp

from rackswitch.demo.fleet import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    REGISTER,
    TRAINER_TOKEN,
    EmbeddedFleet,
)
from rackswitch.demo.main import wait_ready

REQUESTS = 300
ODD_VALUES = [None, -1, 0, 1e308, "", "\u0000", "x" * 5000, [], {}, [[[]]], True, "é", "../.."]
REQUEST_TEMPLATES = [
    ("/v1/completions", CALLER_TOKEN, {"model": "filing", "prompt": "x", "max_tokens": 2}),
    ("/v1/services/returns/a", CALLER_TOKEN, {"x": 1}),
    ("/v1/trainers/nightly/plans", TRAINER_TOKEN, {"step": 1, "groups": []}),
    (
        "/v1/trainers/nightly/draws",
        TRAINER_TOKEN,
        {"step": 1, "acknowledged_batch": 0, "policy_version": 1, "wait_seconds": 0},
    ),
    (
        "/admin/v1/edits",
        OPERATOR_TOKEN,
        {"changes": [{"row": {"kind": "daemon", "name": "d"}}], "dry_run": True},
    ),
]


def corrupt(rng, body):
    """Return a request body with one defect, or random bytes."""
    corruption = rng.randrange(4)
    if corruption == 0:
        return rng.randbytes(rng.randrange(60))
    corrupted = dict(body)
    name = rng.choice([*body, "unheard_of"])
    corrupted[name] = rng.choice(ODD_VALUES)
    encoded = json.dumps(corrupted).encode()
    if corruption == 1:
        cut_position = rng.randrange(len(encoded))
        return encoded[:cut_position]
    if corruption == 2:
        position = rng.randrange(len(encoded))
        return encoded[:position] + rng.randbytes(1) + encoded[position + 1 :]
    return encoded


async def fuzz(seed):
    rng = random.Random(seed)
    fleet = EmbeddedFleet(REGISTER, seed, daemon_count=1)
    await fleet.start()
    await wait_ready(fleet)
    daemon = fleet.daemons["d0"]
    wrong_responses = []
    async with aiohttp.ClientSession() as session:
        for _ in range(REQUESTS):
            path, token, body = rng.choice(REQUEST_TEMPLATES)
            data = corrupt(rng, body)
            headers = {"Authorization": f"Bearer {token}"}
            if rng.random() < 0.2:
                headers["Rackswitch-Timeout-Seconds"] = rng.choice(["", "nan", "1e999", "-5", "2"])
            if rng.random() < 0.2:
                headers["Rackswitch-Repeatable"] = rng.choice(["yes", "maybe", ""])
            async with session.post(daemon.url + path, data=data, headers=headers) as response:
                content = await response.read()
            is_allowed = response.status < 500 or b'"ran":"no"' in content
            if not is_allowed or b"Traceback" in content:
                wrong_responses.append((path, data[:80], response.status, content[:200]))
        async with session.get(daemon.url + "/healthz") as response:
            healthy = response.status == 200
    in_flight = daemon.context.in_flight.count
    await fleet.stop()
    return wrong_responses, healthy, in_flight


def test_malformed_requests_are_refused_and_release_their_slots():
    wrong_responses, healthy, in_flight = asyncio.run(fuzz(1))
    assert wrong_responses == []
    assert healthy
    assert in_flight == 0
