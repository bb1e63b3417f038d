"""Who holds a key, and what is told of those that nobody holds."""

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
def test_what_is_no_key_is_refused_without_naming_it(values):
    fault = bearer_key(values)
    assert isinstance(fault, KeyFault)
    assert "abc" not in fault.detail


@given(st.text(), st.text())
def test_any_header_gives_a_key_or_a_fault(scheme, key):
    read = bearer_key((f"{scheme} {key}",))
    assert isinstance(read, KeyFault) or (read and read.isascii())


def test_the_scheme_is_read_in_any_case():
    assert bearer_key(("bEaReR  k1 ",)) == "k1"


def test_each_of_a_tenants_keys_stands_for_it_and_a_moved_key_for_its_new_holder():
    first = index_tenants(table(1, tenant("a", "k1", "k2"), tenant("b", "k3")), TenantIndex())
    assert first.identify(["Bearer k2"]) == Caller("a", None, keys_in_force=True)
    second = index_tenants(table(2, tenant("a", "k1"), tenant("b", "k3", "k2")), first)
    assert second.identify(["Bearer k2"]).tenant == "b"


def test_a_refusal_tells_a_key_that_was_taken_away_from_one_that_never_was():
    first = index_tenants(table(3, tenant("a", "k1", "k2")), TenantIndex())
    second = index_tenants(table(7, tenant("a", "k1")), first)
    third = index_tenants(table(8, tenant("a", "k1")), second)
    assert "of a was taken away with table 7" in third.identify(["Bearer k2"]).detail
    assert "is not known" in third.identify(["Bearer k9"]).detail
    back = index_tenants(table(9, tenant("a", "k1", "k2")), third)
    assert back.identify(["Bearer k2"]).tenant == "a"


def test_nobody_is_asked_for_a_key_by_a_table_without_tenants():
    assert index_tenants(table(1), TenantIndex()).identify([]) == Caller()


def test_a_tenants_rank_goes_before_the_routes():
    index = index_tenants(table(1, tenant("a", "k", caller_class=0)), TenantIndex())
    assert index.identify(["Bearer k"]).rank(4) == 0
    assert Caller("a").rank(4) == 4


@given(st.text(max_size=20).filter(lambda text: "\n" not in text), st.text(max_size=20))
def test_no_identity_that_can_be_sent_stands_for_another_tenants_job(sent, identity):
    wanted = Caller("a").job_identity(identity)
    assert Caller().job_identity(sent) != wanted
    assert Caller("b").job_identity(sent) != wanted


@given(
    st.sampled_from(["", "a"]),
    st.text(max_size=20).filter(lambda text: "\n" not in text),
)
def test_an_identity_is_found_again_in_the_fleets_own(tenant, identity):
    assert chosen_identity(Caller(tenant).job_identity(identity)) == identity
