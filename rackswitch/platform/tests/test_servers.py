"""Entries of the list of targets, by the targets themselves and by other writers."""

import msgspec
import pytest

from rackswitch.platform.desired_state import MalformedEntry
from rackswitch.platform.servers import decode_target
from rackswitch.routing import ListedTarget

GOOD = {
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

MISSING = "(left out)"

ODD = [
    *({"address": address} for address in (
        MISSING, None, 7, "", ":8080", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:-5",
        "10.1.2.3:99999", "10.1.2.3:1_0", "10.1.2.3: 80", "10.1.2.3:8080/x", "10.1.2.3/x:8080",
        "engine.example:8080", "10.1.2:8080", "10.1.2.999:8080", "user@10.1.2.3:8080",
    )),
    *({"state": state} for state in (MISSING, None, 3, "", "zombie", "READY")),
    *({"slots": slots} for slots in (MISSING, None, "12", -1, 0, 10**9, 10**400, 1.5, True)),
    *({"service": service} for service in (MISSING, None, 5, "", ["engines"])),
    *({"zone": zone} for zone in (MISSING, None, 5)),
    *({"born": born} for born in (None, "1770155892736", 1.5, -1, 10**400, True, [])),
    *({"seq": seq} for seq in (None, "4", -1, [], True)),
    *({"models": models} for models in (
        None, "m", [3], [{}], [{"name": 3, "version": 1}], [{"name": "m", "version": -1}],
        [{"name": "m", "version": "1"}], [{"name": "m", "version": 10**400}],
    )),
    {"spot": "yes"},
]  # fmt: skip


def encoded(changes: dict) -> bytes:
    fields = {name: value for name, value in (GOOD | changes).items() if value is not MISSING}
    for name, value in fields.items():
        if value == 10**400:
            rest = {other: fields[other] for other in fields if other != name}
            return msgspec.json.encode(rest)[:-1] + f',"{name}":1{"0" * 400}}}'.encode()
    if changes.get("models") == [{"name": "m", "version": 10**400}]:
        rest = {other: fields[other] for other in fields if other != "models"}
        models = f',"models":[{{"name":"m","version":1{"0" * 400}}}]}}'
        return msgspec.json.encode(rest)[:-1] + models.encode()
    return msgspec.json.encode(fields)


@pytest.mark.parametrize("changes", ODD, ids=lambda changes: str(changes)[:40])
def test_an_entry_of_another_writer_names_no_target(changes):
    assert isinstance(decode_target("i-1", encoded(changes)), MalformedEntry)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"null", b"[]", b"3", b'"x"', b"{", b"{}"])
def test_bytes_that_are_no_entry_name_no_target(value):
    assert isinstance(decode_target("i-1", value), MalformedEntry)


def test_a_targets_own_entry_is_read_with_fields_that_are_not_known():
    target = decode_target("i-1", encoded({"newer": {"a": 1}, "models": []}))
    assert isinstance(target, ListedTarget)
    assert (target.host, target.port, target.slots) == ("10.1.2.3", 8080, 12)
    assert not target.draining


@pytest.mark.parametrize(
    ("state", "draining", "reclaimable"),
    [("ready", False, False), ("spot", False, True), ("draining", True, False)],
)
def test_the_states_that_targets_tell(state, draining, reclaimable):
    target = decode_target("i-1", encoded({"state": state}))
    assert (target.draining, target.reclaimable) == (draining, reclaimable)


def test_a_target_that_is_back_under_its_identity_is_another_start():
    first = decode_target("i-1", encoded({}))
    again = decode_target("i-1", encoded({"born": GOOD["born"] + 4000}))
    untold = decode_target("i-1", encoded({"born": MISSING}))
    assert first.instance == again.instance == untold.instance
    assert len({first.start, again.start, untold.start}) == 3
