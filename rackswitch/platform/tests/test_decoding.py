import msgspec

from rackswitch.jobs import JobResult
from rackswitch.platform.desired_state import (
    MalformedEntry,
    NamedVersion,
    RetireOrder,
    decode_desired_state,
    decode_operator_entry,
    encode_retired,
)
from rackswitch.platform.job_calls import encode_results
from rackswitch.platform.servers import decode_target, target_instance
from rackswitch.standins.platform_fleet import desired_state
from rackswitch.table import (
    Handling,
    LimitsRow,
    RouteRow,
    ServiceRow,
    TableDocument,
    TenantRow,
    index_routes,
)


def encode(value: object) -> bytes:
    return msgspec.json.encode(value)


def rows(document: TableDocument, kind: type) -> dict:
    found = [stored.row for stored in document.rows.values() if isinstance(stored.row, kind)]
    return {row.name: row for row in found}


def test_decodes_a_desired_state_into_rows_of_its_version():
    document = decode_desired_state(encode(desired_state(7)))
    assert isinstance(document, TableDocument)
    assert document.revision == 7
    routes = rows(document, RouteRow)
    assert routes["lookup"].handling is Handling.REPEATABLE
    assert routes["lodge"].handling is Handling.ONCE
    assert routes["samples"].handling is Handling.BATCH
    assert routes["samples"].due_seconds == 7.5
    assert routes["samples"].timeout_seconds == 1.5
    assert rows(document, ServiceRow)["engines"].models == ("m0",)
    assert rows(document, LimitsRow)["callers"].most_body_bytes == 200_000


def test_decodes_the_weights_of_a_split_route_and_never_repeats_an_unknown_kind():
    state = desired_state(1)
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    state["routes"] = [
        {"name": "r", "host": "h", "path_prefix": "/", "kind": "newer", "split": split, "odd": 1}
    ]
    route = rows(decode_desired_state(encode(state)), RouteRow)["r"]
    assert [(choice.serves, choice.weight) for choice in route.choices] == [("a", 90), ("b", 10)]
    assert route.handling is Handling.ONCE


def test_selects_the_route_with_the_longest_prefix():
    state = desired_state(1)
    short_route = {"name": "short", "host": "h", "path_prefix": "/a/", "service": "s"}
    state["routes"] = [short_route, {**short_route, "name": "long", "path_prefix": "/a/b/"}]
    index = index_routes(decode_desired_state(encode(state)))
    assert index.find("H:80", "/a/b/c").name == "long"
    assert index.find("h", "/a/c").name == "short"
    assert index.find("h", "/b") is None
    assert index.find("other", "/a/c") is None


def test_reports_malformed_entries():
    for value in (b"", b"{", b'{"version":"x"}', b'{"routes":[]}', b"\xff"):
        assert isinstance(decode_desired_state(value), MalformedEntry)
    assert isinstance(decode_operator_entry("op/version/m", b"{}"), MalformedEntry)
    assert isinstance(decode_target("i-1", b'{"service":"s","address":"x"}'), MalformedEntry)


def test_decodes_versions_and_retire_orders():
    version = encode({"model": "m", "version": 4})
    assert decode_operator_entry("op/version/m", version) == NamedVersion("m", 4)
    assert decode_operator_entry("op/retire/store-1", b"{}") == RetireOrder("store-1")
    assert decode_operator_entry("op/other", b"{}") is None
    assert encode_retired("store-1") == ("status/retire/store-1", b'{"state":"completed"}')


def test_ignores_the_version_and_sequence_number_of_a_listed_target():
    entry = {
        "service": "s",
        "address": "10.128.0.9:8080",
        "zone": "z",
        "version": "v9",
        "slots": 12,
        "state": "draining",
        "models": [{"name": "m", "version": 3, "adapters": []}],
        "seq": 77,
    }
    instance = target_instance("servers/i-1")
    target = decode_target(instance, encode(entry))
    assert (target.instance, target.url) == ("i-1", "http://10.128.0.9:8080")
    assert target.draining
    assert target.versions == {"m": 3}


def test_encodes_results_in_the_platforms_format():
    results = [
        JobResult(item_id="a", completed=True, text="x\ny", versions=(1, 2), score="s"),
        JobResult(item_id="b", completed=False),
    ]
    assert msgspec.json.decode(encode_results(40, 12, results)) == {
        "total": 40,
        "next_token": 14,
        "results": [
            {"id": "a", "state": "completed", "text": "x\ny", "versions": [1, 2], "score": "s"},
            {"id": "b", "state": "dead"},
        ],
    }


def with_scaling(**terms: object) -> bytes:
    state = desired_state(2)
    valid = {"min": 1, "max": 4, "boot_s": 4.0, "spot_price": 0.15, "zone_prices": {"a": 1.0}}
    state["services"][1]["scaling"] = {**valid, **terms}
    return encode(state)


def test_decodes_scaling_terms_and_names_an_invalid_field():
    scaling = rows(decode_desired_state(with_scaling()), ServiceRow)["engines"].scaling
    assert (scaling.least, scaling.most, scaling.reclaimable_price) == (1, 4, 0.15)
    assert rows(decode_desired_state(with_scaling()), ServiceRow)["desk"].scaling is None
    for field, terms in (
        ("min", {"min": 5}),
        ("spot_price", {"spot_price": -1}),
        ("zone_prices", {"zone_prices": {"a": -1.0}}),
    ):
        malformed = decode_desired_state(with_scaling(**terms))
        assert isinstance(malformed, MalformedEntry)
        assert f"`{field}`" in malformed.detail
        assert "'engines'" in malformed.detail


def test_stores_only_digests_of_api_keys():
    state = desired_state(2, tenants=[{"name": "t", "api_keys": ["secret-key"], "priority": 0}])
    document = decode_desired_state(encode(state))
    assert rows(document, TenantRow)["t"].caller_class == 0
    assert b"secret-key" not in encode(document)
    shared = desired_state(3, tenants=[{"name": n, "api_keys": ["secret-key"]} for n in "tu"])
    malformed = decode_desired_state(encode(shared))
    assert "'t' and 'u'" in malformed.detail
    assert "secret-key" not in malformed.detail


def test_a_reclaimable_engine_serves_until_it_drains():
    entry = {"service": "s", "address": "10.0.0.1:8080", "zone": "a", "slots": 4}
    for changes, reclaimable, draining in (
        ({"state": "ready"}, False, False),
        ({"state": "ready", "spot": True}, True, False),
        ({"state": "spot"}, True, False),
        ({"state": "draining", "spot": True, "leaves_ms": 2500}, True, True),
    ):
        target = decode_target("i", encode({**entry, **changes}))
        assert (target.reclaimable, target.draining) == (reclaimable, draining)
