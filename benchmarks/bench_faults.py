"""Times to leave a target and to take a role over, with the default settings.

python benchmarks/bench_faults.py
"""

import asyncio
import json
from pathlib import Path

from rackswitch.daemon.ledger_store import ledger_role
from rackswitch.demo.fleet import ASSOCIATION, CALLER_TOKEN, EmbeddedFleet
from rackswitch.demo.main import wait_ready
from rackswitch.standins.callers import CallerStandIn
from rackswitch.standins.faults import FaultOrder
from rackswitch.telemetry import set_up_logs

RESULTS = Path(__file__).parent / "results"
TRIES = 5
DAEMONS = 9
CALLS = 150
ROLE = ledger_role("nightly")


async def start() -> EmbeddedFleet:
    fleet = EmbeddedFleet(
        ASSOCIATION,
        2,
        daemon_count=DAEMONS,
        heartbeat_seconds=1.0,
        lease_seconds=6.0,
        poll_seconds=0.5,
        confirm_seconds=2.0,
    )
    await fleet.start()
    await wait_ready(fleet)
    return fleet


async def leaving(fleet: EmbeddedFleet) -> list[float]:
    """Time from the platform's list being changed to no daemon giving the target work."""
    loop = asyncio.get_running_loop()
    times = []
    for number in range(TRIES):
        name = f"layout-{number}"
        vm = {"name": name, "zone": ASSOCIATION.zones[0], "role": "target", "state": "leaving"}
        fleet.vm_list.put(vm)
        began = loop.time()
        while any(
            name in [row.name for row, _ in daemon.targets.usable("layout")]
            for daemon in fleet.daemons.values()
        ):
            await asyncio.sleep(0.02)
        times.append(loop.time() - began)
    return times


async def take_over(fleet: EmbeddedFleet, planned: bool) -> list[float]:
    """Time from a holder's end to another holding its role."""
    loop = asyncio.get_running_loop()
    times = []
    for _ in range(2):
        holder = None
        while holder is None:
            await asyncio.sleep(0.05)
            held = [name for name, d in fleet.daemons.items() if d.roles.may_act(ROLE)]
            holder = held[0] if held else None
        daemon = fleet.daemons.pop(holder)
        began = loop.time()
        end = asyncio.create_task(daemon.stop() if planned else daemon.crash())
        while not any(each.roles.may_act(ROLE) for each in fleet.daemons.values()):
            await asyncio.sleep(0.02)
        times.append(loop.time() - began)
        await end
    return times


async def engine_fault(fault: str) -> dict[str, object]:
    """Callers' outcomes while one of four engines of the application fails."""
    fleet = await start()
    caller = CallerStandIn(CALLER_TOKEN, fleet.urls())
    engine = fleet.engines["intake-0"]
    calls = []
    for number in range(CALLS):
        if number == CALLS // 5:
            if fault == "dies":
                await engine.stop()
            elif fault == "freezes":
                engine.gate.set(FaultOrder(mode="freeze"))
            elif fault == "slows tenfold":
                engine.slow_factor = 10.0
        calls.append(asyncio.create_task(caller.complete("intake", f"form {number}", 48, number)))
        await asyncio.sleep(0.04)
    await asyncio.gather(*calls)
    record = caller.record
    row = {
        "fault": fault,
        "sent": CALLS,
        "completed": record.completed,
        "not_run": record.not_run,
        "in_doubt": record.may_have_run + record.failed,
        "p50_ms": record.percentile_ms(50),
        "p99_ms": record.percentile_ms(99),
        "violations": record.violations(),
    }
    await caller.close()
    await fleet.stop()
    return row


def summary(times: list[float]) -> dict[str, float]:
    return {"mean_seconds": round(sum(times) / len(times), 2), "most_seconds": round(max(times), 2)}


async def measure() -> dict[str, object]:
    fleet = await start()
    results: dict[str, object] = {"daemons": DAEMONS, "vm_list_lag_seconds": 0.2}
    results["leaving_target"] = summary(await leaving(fleet))
    print(json.dumps(results), flush=True)
    results["take_over_after_crash"] = summary(await take_over(fleet, planned=False))
    results["take_over_after_planned_stop"] = summary(await take_over(fleet, planned=True))
    await fleet.stop()
    return results


def main() -> None:
    set_up_logs("CRITICAL")
    results = asyncio.run(measure())
    print(json.dumps(results), flush=True)
    faults = []
    for fault in ("none", "dies", "freezes", "slows tenfold"):
        faults.append(asyncio.run(engine_fault(fault)))
        print(json.dumps(faults[-1]), flush=True)
    results["engine_faults"] = faults
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "faults.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
