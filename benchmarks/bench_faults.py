"""Times to stop using a removed target and to take over a role, with the default settings.

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
REMOVALS = 5
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


async def measure_removal(fleet: EmbeddedFleet) -> list[float]:
    """Return the times from marking a VM as leaving to no daemon using its target."""
    loop = asyncio.get_running_loop()
    times = []
    for number in range(REMOVALS):
        name = f"layout-{number}"
        vm = {"name": name, "zone": ASSOCIATION.zones[0], "role": "target", "state": "leaving"}
        fleet.vm_list.put(vm)
        began_seconds = loop.time()
        while any(
            name in [row.name for row, _ in daemon.targets.usable("layout")]
            for daemon in fleet.daemons.values()
        ):
            await asyncio.sleep(0.02)
        times.append(loop.time() - began_seconds)
    return times


async def measure_takeover(fleet: EmbeddedFleet, planned: bool) -> list[float]:
    """Return the times from stopping a role holder to another daemon holding the role."""
    loop = asyncio.get_running_loop()
    times = []
    for _ in range(2):
        holder = None
        while holder is None:
            await asyncio.sleep(0.05)
            holders = [name for name, d in fleet.daemons.items() if d.roles.may_act(ROLE)]
            holder = holders[0] if holders else None
        daemon = fleet.daemons.pop(holder)
        began_seconds = loop.time()
        stop_task = asyncio.create_task(daemon.stop() if planned else daemon.crash())
        while not any(other.roles.may_act(ROLE) for other in fleet.daemons.values()):
            await asyncio.sleep(0.02)
        times.append(loop.time() - began_seconds)
        await stop_task
    return times


async def measure_engine_fault(fault: str) -> dict[str, object]:
    """Return callers' outcomes while one of four engines of the application fails."""
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


def summarize(times: list[float]) -> dict[str, float]:
    return {"mean_seconds": round(sum(times) / len(times), 2), "most_seconds": round(max(times), 2)}


async def measure() -> dict[str, object]:
    fleet = await start()
    results: dict[str, object] = {"daemons": DAEMONS, "vm_list_lag_seconds": 0.2}
    results["leaving_target"] = summarize(await measure_removal(fleet))
    print(json.dumps(results), flush=True)
    results["take_over_after_crash"] = summarize(await measure_takeover(fleet, planned=False))
    results["take_over_after_planned_stop"] = summarize(await measure_takeover(fleet, planned=True))
    await fleet.stop()
    return results


def main() -> None:
    set_up_logs("CRITICAL")
    results = asyncio.run(measure())
    print(json.dumps(results), flush=True)
    faults = []
    for fault in ("none", "dies", "freezes", "slows tenfold"):
        faults.append(asyncio.run(measure_engine_fault(fault)))
        print(json.dumps(faults[-1]), flush=True)
    results["engine_faults"] = faults
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "faults.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
