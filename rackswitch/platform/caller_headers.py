"""Selection of the caller's headers that are forwarded to a target."""

from multidict import CIMultiDict

from rackswitch.platform.answers import end_to_end_headers
from rackswitch.platform.names import AUTHORIZATION_HEADER, TENANT_HEADER
from rackswitch.tenants import Caller

__all__ = ["headers_for_target"]


def headers_for_target(headers: tuple[tuple[str, str], ...], caller: Caller) -> CIMultiDict[str]:
    """Return the headers to forward, without those that this system sets for each call.

    All tenant headers of the caller are removed, as only this system sets them. If API keys are in
    force, all of its Authorization headers are removed too.

    Parameters
    ----------
    headers : tuple of (str, str)
        Headers of the caller's request or item.
    caller : Caller
        The caller that sent them.
    """
    sent = CIMultiDict(end_to_end_headers(headers))
    sent.popall(TENANT_HEADER, None)
    if caller.keys_required:
        sent.popall(AUTHORIZATION_HEADER, None)
    if caller.tenant:
        sent[TENANT_HEADER] = caller.tenant
    return sent
