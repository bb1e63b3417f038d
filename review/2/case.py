"""Batch jobs on a route that was just added, and a kill of all gateways."""

import asyncio
import json
import signal
import sys
import time
from base64 import b64encode
from pathlib import Path
from typing import Any

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import HOST, CannotRunError, Gateway, Site, desired_state, run_case, trouble  # noqa: E402, I001

STALE_SECONDS = 3.0
ITEMS = 8

LOOKUP = {
    "name": "entity-lookup",
    "host": HOST,
    "path_prefix": "/lookup/",
    "kind": "safe",
    "timeout_ms": 2000,
    "goal_ms": 192,
    "priority": 2,
    "service": "filing-desk",
    "max_attempts": 2,
}
ROLLOUT = {
    "name": "return-summary",
    "host": HOST,
    "path_prefix": "/summary/",
    "kind": "rollout",
    "timeout_ms": 10000,
    "goal_ms": 400,
    "priority": 0,
    "service": "drafters",
    "max_attempts": 3,
    "run_target_ms": 7500,
    "keep_s": 40.0,
}


def job_body(job: str) -> bytes:
    """Return the submission of a step of short texts."""
    work = b64encode(json.dumps({"events": 40, "event_s": 0.04}).encode()).decode()
    items: list[dict[str, Any]] = [
        {
            "id": f"{job}item{number}",
            "path": f"/summary/{job}/{number}",
            "headers": {
                "X-Rackswitch-Model": "m0",
                "X-Rackswitch-Token-Counts": "271,200",
                "X-Rackswitch-Prompt-Prefix": f"9c2e41:255,5d07b{number}:16",
            },
            "body": work,
            "tokens": 471,
            "group": f"{job}g{number // 4}",
        }
        for number in range(ITEMS)
    ]
    return json.dumps(
        {"step": 0, "model": "m0", "min_version": 1, "desired_count": 2, "items": items}
    ).encode()


async def submit(session: aiohttp.ClientSession, gateway: Gateway, job: str) -> int:
    """Submit a batch job; return the status."""
    headers = {"Host": HOST, "X-Rackswitch-Request-Id": job, "Connection": "close"}
    url = f"{gateway.url}/summary/{job}"
    async with session.post(url, data=job_body(job), headers=headers) as answer:
        return answer.status


async def read_results(
    session: aiohttp.ClientSession, gateway: Gateway, job: str
) -> list[dict[str, Any]]:
    """Read a batch job's results from the start; empty without a 200."""
    headers = {"Host": HOST, "Connection": "close"}
    url = f"{gateway.url}/rackswitch/lots/{job}?since_rev=0"
    try:
        limit = aiohttp.ClientTimeout(total=3)
        async with session.get(url, headers=headers, timeout=limit) as answer:
            return (await answer.json())["results"] if answer.status == 200 else []
    except (aiohttp.ClientError, TimeoutError):
        return []


async def play(site: Site, session: aiohttp.ClientSession) -> bool:
    """Play the case; return whether the rule was broken."""
    record = site.record
    site.store.put("op/config", desired_state(7, [LOOKUP]))
    for zone in ("pos-a", "pos-b", "pos-c"):
        site.add_engine(f"i-llm-{zone}", "drafters", zone, ("m0",))
        site.add_engine(f"i-desk-{zone}", "filing-desk", zone)
        site.add_gateway(f"front-{zone}-1", zone)
    await site.start(session)
    await asyncio.sleep(5.0)

    site.store.put("op/config", desired_state(9, [LOOKUP, ROLLOUT]))
    record.note("operator: version 9, which adds the route /summary/, is acknowledged")
    await asyncio.sleep(0.2)
    jobs = {f"job{number}": gateway for number, gateway in enumerate(site.gateways)}
    statuses = await asyncio.gather(*(submit(session, jobs[job], job) for job in jobs))
    accepted = time.monotonic()
    for (job, gateway), status in zip(jobs.items(), statuses, strict=True):
        record.note(f"trainer: {job} with {ITEMS} items sent to {gateway.name}: {status}")
    if set(statuses) != {202}:
        raise CannotRunError("a batch job was not accepted")
    await asyncio.sleep(0.1)
    if trouble():
        for gateway in site.gateways:
            gateway.send_signal(signal.SIGKILL)
        for gateway in site.gateways:
            await gateway.wait_end(5.0)
        await asyncio.sleep(0.1)
        for gateway in site.gateways:
            await gateway.start()

    results: dict[str, list[dict[str, Any]]] = {job: [] for job in jobs}
    while time.monotonic() < accepted + 25.0 and any(len(one) < ITEMS for one in results.values()):
        await asyncio.sleep(0.5)
        for job, known in results.items():
            for gateway in site.gateways:
                found = await read_results(session, gateway, job)
                if len(found) > len(known):
                    known[:] = found
                    states = [result["state"] for result in found]
                    record.note(
                        f"trainer: {gateway.name} lists {states.count('completed')} completed and "
                        f"{states.count('dead')} dead of {job}, "
                        f"{time.monotonic() - accepted:.2f} s after its 202"
                    )
    for engine in site.engines:
        for run in engine.runs:
            record.note(f"{engine.name} ran {run.request_id}: {run.events} events, {run.ended}")
    dead = [one["id"] for found in results.values() for one in found if one["state"] == "dead"]
    record.note(f"listed as dead: {dead}")
    record.note("the route is in force all the time since; no engine answered 422 or 500")
    if not trouble() and any(len(one) < ITEMS for one in results.values()):
        raise CannotRunError("a batch job did not become whole, without any disruption")
    return bool(dead)


run_case(Path(__file__).resolve().parent, play, STALE_SECONDS)
