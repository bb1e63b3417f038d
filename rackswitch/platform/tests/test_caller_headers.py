"""A caller's API key or its own tenant header must not be forwarded to a target."""

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.platform.caller_headers import headers_for_target
from rackswitch.tenants import Caller

letter_cases = st.sampled_from([str.lower, str.upper, str.title, str.swapcase])
names = st.sampled_from(["Authorization", "X-Rackswitch-Tenant", "X-Own", "Transfer-Encoding"])
headers = st.lists(
    st.builds(
        lambda name, case, value: (case(name), value), names, letter_cases, st.text(max_size=5)
    )
)


@given(headers, st.sampled_from(["", "a"]))
def test_replaces_the_tenant_header_and_removes_the_key_if_keys_are_in_force(sent, tenant):
    passed = headers_for_target(tuple(sent), Caller(tenant, keys_required=True))
    assert "authorization" not in passed
    assert passed.getall("X-Rackswitch-Tenant", []) == ([tenant] if tenant else [])
    sent_values = [value for name, value in sent if name.lower() == "x-own"]
    assert passed.getall("X-Own", []) == sent_values
    assert "Transfer-Encoding" not in passed


@given(headers)
def test_forwards_the_authorization_header_if_there_are_no_tenants(sent):
    passed = headers_for_target(tuple(sent), Caller())
    sent_values = [value for name, value in sent if name.lower() == "authorization"]
    assert passed.getall("Authorization", []) == sent_values
    assert "X-Rackswitch-Tenant" not in passed
