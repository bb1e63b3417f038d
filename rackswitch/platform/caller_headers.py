"""Which of a caller's headers reach an engine."""

from multidict import CIMultiDict

from rackswitch.platform.answers import end_to_end_headers
from rackswitch.platform.names import AUTHORIZATION_HEADER, TENANT_HEADER
from rackswitch.tenants import Caller

__all__ = ["headers_for_target"]


def headers_for_target(headers: tuple[tuple[str, str], ...], caller: Caller) -> CIMultiDict[str]:
    """Return the headers to send on, before those of this system are set.

    A key is for this system alone, and only this system names the tenant: whatever the caller
    sent under these names, in any case and any number, stays here.

    Parameters
    ----------
    headers : tuple of (str, str)
        As the caller sent them with its request or with an item.
    caller : Caller
        Who sent them.
    """
    sent = CIMultiDict(end_to_end_headers(headers))
    sent.popall(TENANT_HEADER, None)
    if caller.keys_in_force:
        sent.popall(AUTHORIZATION_HEADER, None)
    if caller.tenant:
        sent[TENANT_HEADER] = caller.tenant
    return sent
