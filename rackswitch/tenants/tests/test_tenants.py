"""Guards against keys that identify the wrong tenant, and against keys in messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.table import StoredRow, TableDocument, TenantRow, row_key
from rackswitch.tenants import (
    Caller,
    KeyFault,
    TenantIndex,
    bearer_key,
    chosen_identity,
    index_tenants,
    key_digest,
)


def table(revision: int, *rows: TenantRow) -> TableDocument:
    return TableDocument(revision, {row_key(row): StoredRow(revision, row) for row in rows})


def tenant(name: str, *keys: str, caller_class: int | None = None) -> TenantRow:
    digests = tuple(key_digest(key) for key in keys)
    return TenantRow(name=name, key_sha256=digests, caller_class=caller_class)


@pytest.mark.parametrize(
    "values",
    [
        (),
        ("",),
        ("Bearer",),
        ("Bearer  ",),
        ("Basic abc",),
        ("abc",),
        ("Bearer a b",),
        ("Bearer k\u00e9y",),
        ("Bearer k\x01",),
        ("Bearer " + "k" * 513,),
        ("Bearer abc", "Bearer abc"),
    ],
)
def test_a_malformed_key_is_refused_and_not_repeated_in_the_message(values):
    fault = bearer_key(values)
    assert isinstance(fault, KeyFault)
    assert "abc" not in fault.detail


@given(st.text(), st.text())
def test_any_header_returns_a_key_or_a_fault(scheme, key):
    key_or_fault = bearer_key((f"{scheme} {key}",))
    assert isinstance(key_or_fault, KeyFault) or (key_or_fault and key_or_fault.isascii())


def test_the_scheme_is_case_insensitive():
    assert bearer_key(("bEaReR  k1 ",)) == "k1"


def test_each_key_identifies_its_tenant_also_after_it_moved_to_another():
    first = index_tenants(table(1, tenant("a", "k1", "k2"), tenant("b", "k3")), TenantIndex())
    assert first.identify(["Bearer k2"]) == Caller("a", None, keys_required=True)
    second = index_tenants(table(2, tenant("a", "k1"), tenant("b", "k3", "k2")), first)
    assert second.identify(["Bearer k2"]).tenant == "b"


def test_a_refusal_distinguishes_revoked_keys_from_unknown_ones():
    first = index_tenants(table(3, tenant("a", "k1", "k2")), TenantIndex())
    second = index_tenants(table(7, tenant("a", "k1")), first)
    third = index_tenants(table(8, tenant("a", "k1")), second)
    assert "of a was taken away with table 7" in third.identify(["Bearer k2"]).detail
    assert "is not known" in third.identify(["Bearer k9"]).detail
    fourth = index_tenants(table(9, tenant("a", "k1", "k2")), third)
    assert fourth.identify(["Bearer k2"]).tenant == "a"


def test_a_table_without_tenants_requires_no_key():
    assert index_tenants(table(1), TenantIndex()).identify([]) == Caller()


def test_a_tenants_rank_replaces_that_of_the_route():
    index = index_tenants(table(1, tenant("a", "k", caller_class=0)), TenantIndex())
    assert index.identify(["Bearer k"]).rank(4) == 0
    assert Caller("a").rank(4) == 4


@given(st.text(max_size=20).filter(lambda text: "\n" not in text), st.text(max_size=20))
def test_no_identity_without_line_breaks_matches_another_tenants_job(sent_identity, identity):
    job_identity = Caller("a").job_identity(identity)
    assert Caller().job_identity(sent_identity) != job_identity
    assert Caller("b").job_identity(sent_identity) != job_identity


@given(
    st.sampled_from(["", "a"]),
    st.text(max_size=20).filter(lambda text: "\n" not in text),
)
def test_the_tenants_identity_is_recovered_from_the_fleet_wide_one(tenant, identity):
    assert chosen_identity(Caller(tenant).job_identity(identity)) == identity
