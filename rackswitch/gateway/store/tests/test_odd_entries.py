"""Odd entries of other writers, through the whole way to a live daemon and a restarted one."""

import asyncio
from collections.abc import Iterator

import msgspec
import pytest

from rackswitch.gateway.store import state_manager
from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for
from rackswitch.platform.names import CONFIG_KEY, SERVERS_PREFIX, VERSION_PREFIX
from rackswitch.standins.platform_fleet import MODEL, PlatformFleet, desired_state
from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.events import EntryFailed

ENTRY = {
    "service": "engines",
    "address": "127.0.0.1:9",
    "zone": "z",
    "slots": 4,
    "state": "draining",
    "models": [{"name": MODEL, "version": 1}],
}
DEEP = b"[" * 1500 + b"]" * 1500
HUGE = b"1" + b"0" * 5000


def odd_values(entry: dict) -> Iterator[bytes]:
    """Yield variants of a valid entry that are nested deeply or have numbers out of range."""
    start = msgspec.json.encode(entry)[:-1]
    unknown_values = (DEEP, b"[" * 300_000, b"1e999", HUGE)
    for name in entry:
        other_fields = {other: value for other, value in entry.items() if other != name}
        for value in (DEEP, b"1e999", HUGE, b"-1", b"null"):
            encoded = msgspec.json.encode(other_fields)[:-1]
            yield encoded + b',"' + name.encode() + b'":' + value + b"}"
    for value in unknown_values:
        yield start + b',"other":' + value + b"}"
    yield from (b"\xff\xfe", b"", DEEP, HUGE)


def odd_engine_entries() -> list[bytes]:
    ports = [
        msgspec.json.encode(ENTRY | {"address": f"127.0.0.1:{port}"})
        for port in ("0", "65536", "99999", "-1", "1" * 300, "1e3", "")
    ]
    times = [
        msgspec.json.encode(ENTRY | {name: value, "state": state})
        for name in ("cold_left_ms", "leaves_ms")
        for value in (1e308, 2**64)
        for state in ("ready", "draining")
    ]
    return [*odd_values(ENTRY), *ports, *times]


async def check_following(fleet: PlatformFleet) -> None:
    """Check that all daemons live, follow the list of engines and serve."""
    fleet.store.put(f"{SERVERS_PREFIX}new", ENTRY)
    await wait_for(
        lambda: all(
            "new" in gateway.context.directory.entries for gateway in fleet.gateways.values()
        )
    )
    for name, gateway in fleet.gateways.items():
        assert gateway.context.daemon.violated_invariant is None
        assert (await fleet.request(name, "GET", "/look/x", request_id=f"r-{name}"))[0] == 200
    fleet.store.delete(f"{SERVERS_PREFIX}new")
    await wait_for(
        lambda: all(
            "new" not in gateway.context.directory.entries for gateway in fleet.gateways.values()
        )
    )


async def restart_all(fleet: PlatformFleet) -> None:
    for gateway in list(fleet.gateways.values()):
        await gateway.crash()
    for name in list(fleet.gateways):
        await fleet.start_gateway(name)
    await wait_for(lambda: all(g.replicas.is_complete for g in fleet.gateways.values()))


def test_daemons_follow_the_list_of_engines_beside_odd_entries():
    """Guards against daemons that end or stop following the list at another writer's entry."""

    async def scenario(fleet):
        for number, value in enumerate(odd_engine_entries()):
            fleet.store.put_bytes(f"{SERVERS_PREFIX}odd-{number}", value)
        fleet.store.put_bytes(SERVERS_PREFIX, msgspec.json.encode(ENTRY))
        fleet.store.put_bytes(f"{SERVERS_PREFIX}a\r\nb", msgspec.json.encode(ENTRY))
        await check_following(fleet)
        pieces = [20] * 4
        assert await fleet.submit("d0", "j1", pieces) == 202
        check_complete(await fleet.read_all("d1", "j1", 10.0), pieces, "j1")
        await restart_all(fleet)
        await check_following(fleet)

    run_scenario(scenario, daemons=3)


@pytest.mark.parametrize(
    ("key", "entry"),
    [
        (CONFIG_KEY, desired_state(2)),
        (f"{VERSION_PREFIX}{MODEL}", {"model": MODEL, "version": 2}),
        ("control/members/x", {"host": "127.0.0.1", "port": 1}),
        ("control/jobs/x", {"job_id": "x"}),
        ("control/owners/x", {}),
        ("control/ends/x", {"number": 1}),
        ("control/trials/x", {"trials": 1, "next_at_unix_seconds": 1.0}),
        ("control/orders/x", {}),
        ("control/roles/x", {}),
        ("control/duties", {}),
    ],
    ids=lambda value: value.replace("/", "-") if isinstance(value, str) else "",
)
def test_daemons_go_on_beside_odd_entries_of_other_kinds(key, entry):
    """Guards against the same fault in the entries of operators, trainers and daemons."""

    async def scenario(fleet):
        for value in odd_values(entry):
            fleet.store.put_bytes(key, value)
            await asyncio.sleep(0.05)
        await check_following(fleet)
        if key == CONFIG_KEY:
            # A daemon that starts without a valid table serves nothing.
            fleet.store.put(key, entry)
        await restart_all(fleet)
        await check_following(fleet)

    run_scenario(scenario)


@pytest.mark.parametrize("error", [RecursionError("deep"), KeyError("k"), OverflowError("large")])
def test_an_error_in_the_handling_of_an_entry_concerns_that_entry_alone(monkeypatch, error):
    """Guards against any other defect that one entry brings about."""
    written = []
    decode = state_manager.decode_target

    def fail_on_odd(instance, value):
        if instance == "odd":
            raise error
        return decode(instance, value)

    monkeypatch.setattr(state_manager, "decode_target", fail_on_odd)

    async def scenario(fleet):
        write = DecisionLog.write
        monkeypatch.setattr(
            DecisionLog, "write", lambda log, event: written.append(event) or write(log, event)
        )
        fleet.store.put(f"{SERVERS_PREFIX}odd", ENTRY)
        await check_following(fleet)
        await restart_all(fleet)
        await check_following(fleet)

    run_scenario(scenario)
    failed = [event for event in written if isinstance(event, EntryFailed)]
    assert {event.key for event in failed} == {f"{SERVERS_PREFIX}odd"}
    assert len(failed) == 4
