"""Random and damaged requests get a refusal in the 400s, and the daemon goes on."""

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
SHAPES = [
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


def damage(rng, body):
    """Return a request body with one thing wrong, or random bytes."""
    kind = rng.randrange(4)
    if kind == 0:
        return rng.randbytes(rng.randrange(60))
    damaged = dict(body)
    name = rng.choice([*body, "unheard_of"])
    damaged[name] = rng.choice(ODD_VALUES)
    encoded = json.dumps(damaged).encode()
    if kind == 1:
        cut = rng.randrange(len(encoded))
        return encoded[:cut]
    if kind == 2:
        place = rng.randrange(len(encoded))
        return encoded[:place] + rng.randbytes(1) + encoded[place + 1 :]
    return encoded


async def fuzz(seed):
    rng = random.Random(seed)
    fleet = EmbeddedFleet(REGISTER, seed, daemon_count=1)
    await fleet.start()
    await wait_ready(fleet)
    daemon = fleet.daemons["d0"]
    bad = []
    async with aiohttp.ClientSession() as session:
        for _ in range(REQUESTS):
            path, token, body = rng.choice(SHAPES)
            data = damage(rng, body)
            headers = {"Authorization": f"Bearer {token}"}
            if rng.random() < 0.2:
                headers["Rackswitch-Timeout-Seconds"] = rng.choice(["", "nan", "1e999", "-5", "2"])
            if rng.random() < 0.2:
                headers["Rackswitch-Repeatable"] = rng.choice(["yes", "maybe", ""])
            async with session.post(daemon.url + path, data=data, headers=headers) as answer:
                content = await answer.read()
            truthful = answer.status < 500 or b'"ran":"no"' in content
            if not truthful or b"Traceback" in content:
                bad.append((path, data[:80], answer.status, content[:200]))
        async with session.get(daemon.url + "/healthz") as answer:
            healthy = answer.status == 200
    in_flight = daemon.context.in_flight.count
    await fleet.stop()
    return bad, healthy, in_flight


def test_damaged_requests_are_refused_and_hold_no_place():
    bad, healthy, in_flight = asyncio.run(fuzz(1))
    assert bad == []
    assert healthy
    assert in_flight == 0
