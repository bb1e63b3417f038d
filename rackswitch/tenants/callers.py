"""Who sent a request, as it was decided once when the request came."""

from dataclasses import dataclass

__all__ = ["ANONYMOUS", "Caller", "chosen_identity"]

JOB_SEPARATOR = "\n"
"""Between a tenant and its own identity of a job. Neither a header nor a path can hold a line
break, so that nothing a caller sends can stand for another tenant's job."""


@dataclass(frozen=True, slots=True)
class Caller:
    """The sender of a request.

    Attributes
    ----------
    tenant : str
        The tenant that held the request's key; empty where no key is asked for.
    caller_class : int or None
        Rank of the tenant's requests, 0 first; None to go by the route's.
    keys_in_force : bool
        Whether the table has tenants. Headers that name a key or a tenant are then this
        system's own affair, and nothing of them is passed on as the caller sent it.
    """

    tenant: str = ""
    caller_class: int | None = None
    keys_in_force: bool = False

    def rank(self, route_class: int) -> int:
        """Return the rank of a request on a route: a tenant's own goes before the route's."""
        return route_class if self.caller_class is None else self.caller_class

    def job_identity(self, identity: str) -> str:
        """Return the identity by which a job of this caller is known inside the fleet.

        Each tenant has identities of its own: a job of another tenant is not found, whatever is
        asked, and two tenants may choose the same one.
        """
        return f"{self.tenant}{JOB_SEPARATOR}{identity}" if self.tenant else identity


def chosen_identity(job_id: str) -> str:
    """Return a job's identity as its tenant chose it: what `Caller.job_identity` was given."""
    return job_id.rpartition(JOB_SEPARATOR)[2]


ANONYMOUS = Caller()
"""The sender where the table has no tenants."""
