"""Invalid entries of the list of targets must not become targets."""

import msgspec
import pytest

from rackswitch.platform.desired_state import MalformedEntry
from rackswitch.platform.servers import decode_target
from rackswitch.routing import ListedTarget

VALID_ENTRY = {
    "service": "engines",
    "address": "10.1.2.3:8080",
    "zone": "z",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "seq": 4,
    "born": 1_770_155_892_736,
}

ABSENT = "(left out)"

INVALID_CHANGES = [
    *({"address": address} for address in (
        ABSENT, None, 7, "", ":8080", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:-5",
        "10.1.2.3:99999", "10.1.2.3:1_0", "10.1.2.3: 80", "10.1.2.3:8080/x", "10.1.2.3/x:8080",
        "engine.example:8080", "10.1.2:8080", "10.1.2.999:8080", "user@10.1.2.3:8080",
    )),
    *({"state": state} for state in (ABSENT, None, 3, "", "zombie", "READY")),
    *({"slots": slots} for slots in (ABSENT, None, "12", -1, 0, 10**9, 10**400, 1.5, True)),
    *({"service": service} for service in (ABSENT, None, 5, "", ["engines"])),
    *({"zone": zone} for zone in (ABSENT, None, 5)),
    *({"born": born} for born in (None, "1770155892736", 1.5, -1, 10**400, True, [])),
    *({"seq": seq} for seq in (None, "4", -1, [], True)),
    *({"models": models} for models in (
        None, "m", [3], [{}], [{"name": 3, "version": 1}], [{"name": "m", "version": -1}],
        [{"name": "m", "version": "1"}], [{"name": "m", "version": 10**400}],
    )),
    {"spot": "yes"},
    *({"leaves_ms": leaves_ms} for leaves_ms in ("2500", -1, [], True)),
]  # fmt: skip


def encoded(changes: dict) -> bytes:
    fields = {name: value for name, value in (VALID_ENTRY | changes).items() if value is not ABSENT}
    for name, value in fields.items():
        if value == 10**400:
            other_fields = {other: fields[other] for other in fields if other != name}
            return msgspec.json.encode(other_fields)[:-1] + f',"{name}":1{"0" * 400}}}'.encode()
    if changes.get("models") == [{"name": "m", "version": 10**400}]:
        other_fields = {other: fields[other] for other in fields if other != "models"}
        models = f',"models":[{{"name":"m","version":1{"0" * 400}}}]}}'
        return msgspec.json.encode(other_fields)[:-1] + models.encode()
    return msgspec.json.encode(fields)


@pytest.mark.parametrize("changes", INVALID_CHANGES, ids=lambda changes: str(changes)[:40])
def test_rejects_an_entry_with_an_invalid_field(changes):
    assert isinstance(decode_target("i-1", encoded(changes)), MalformedEntry)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"null", b"[]", b"3", b'"x"', b"{", b"{}"])
def test_rejects_bytes_that_are_not_an_entry(value):
    assert isinstance(decode_target("i-1", value), MalformedEntry)


def test_ignores_unknown_fields():
    target = decode_target("i-1", encoded({"newer": {"a": 1}, "models": []}))
    assert isinstance(target, ListedTarget)
    assert (target.host, target.port, target.slots) == ("10.1.2.3", 8080, 12)
    assert not target.draining


@pytest.mark.parametrize(
    ("state", "draining", "reclaimable"),
    [("ready", False, False), ("spot", False, True), ("draining", True, False)],
)
def test_decodes_the_state_of_a_target(state, draining, reclaimable):
    target = decode_target("i-1", encoded({"state": state}))
    assert (target.draining, target.reclaimable) == (draining, reclaimable)


def test_a_restarted_target_has_another_start():
    first = decode_target("i-1", encoded({}))
    restarted = decode_target("i-1", encoded({"born": VALID_ENTRY["born"] + 4000}))
    without_start_time = decode_target("i-1", encoded({"born": ABSENT}))
    assert first.instance == restarted.instance == without_start_time.instance
    assert len({first.start, restarted.start, without_start_time.start}) == 3


@pytest.mark.parametrize(
    ("changes", "remaining_seconds"),
    [
        ({"state": "draining", "leaves_ms": 2500}, 2.5),
        ({"state": "draining", "leaves_ms": 2500.5}, 2.5005),
        ({"state": "draining", "leaves_ms": 0}, 0.0),
        ({"state": "draining"}, None),
        ({"state": "draining", "leaves_ms": None}, None),
        # Applies to draining targets only.
        ({"state": "ready", "leaves_ms": 2500}, None),
    ],
)
def test_decodes_the_remaining_time_of_a_draining_target(changes, remaining_seconds):
    assert decode_target("i-1", encoded(changes)).leaving_in_seconds == remaining_seconds
