"""The caller of a request, identified once when the request arrives."""

from dataclasses import dataclass

__all__ = ["ANONYMOUS", "Caller", "chosen_identity", "identity_tenant"]

JOB_SEPARATOR = "\n"
"""Separates the tenant from the tenant's identity of a job. Headers and paths cannot contain a line
break, so no caller can send the identity of another tenant's job."""


@dataclass(frozen=True, slots=True)
class Caller:
    """The caller of a request.

    Attributes
    ----------
    tenant : str
        The tenant that held the request's key; empty if no key is required.
    caller_class : int or None
        Rank of the tenant's requests, 0 first; None to use the route's rank.
    keys_required : bool
        Whether the table has tenants. If so, headers with a key or a tenant's name are not
        forwarded as the caller sent them.
    """

    tenant: str = ""
    caller_class: int | None = None
    keys_required: bool = False

    def rank(self, route_class: int) -> int:
        """Return the rank of a request on a route: the tenant's rank, or else the route's."""
        return route_class if self.caller_class is None else self.caller_class

    def job_identity(self, identity: str) -> str:
        """Return the fleet-wide identity of a job of this caller.

        Each tenant has its own namespace: a caller cannot find the jobs of another tenant, and
        two tenants may use the same identity.
        """
        return f"{self.tenant}{JOB_SEPARATOR}{identity}" if self.tenant else identity


def chosen_identity(job_id: str) -> str:
    """Return the identity that a tenant gave to a job; reverses `Caller.job_identity`."""
    return job_id.rpartition(JOB_SEPARATOR)[2]


def identity_tenant(job_id: str) -> str:
    """Return the tenant whose job has a fleet-wide identity; empty if no key was required."""
    return job_id.rpartition(JOB_SEPARATOR)[0]


ANONYMOUS = Caller()
"""The caller if the table has no tenants."""
