"""The targets that the platform lists, and which of them may receive new work.

Targets register in the platform's key-value service under a lease. A removed entry means that the
target has left, unless the service was unreachable: then leases expire although their targets still
run, and the targets register again shortly after the service is reachable.
"""

from collections import Counter
from dataclasses import dataclass, field

from rackswitch.routing.eligibility import Eligibility, Exclusion

__all__ = ["ListedTarget", "TargetDirectory"]

LAPSE_GRACE_SECONDS = 2.0
"""How long a target whose lease expired during an outage may take to register again."""


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as it describes itself in the platform's list.

    Attributes
    ----------
    instance : str
        Identity of the target. It may survive a restart; `start` distinguishes the starts.
    draining : bool
        Whether it is leaving and must get no new work.
    versions : dict of str to int
        The weights it has loaded, by model.
    reclaimable : bool
        Whether the platform may reclaim it at short notice.
    started_at_unix_ms : int
        When it started; 0 if not reported.
    leaving_in_seconds : float or None
        Remaining lifetime at the time it wrote its entry; None if it is not leaving or did not
        report it.
    cold_left_seconds : float
        Remaining time in which it is cold at the time it wrote its entry; 0 if it is not cold.
    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 0
    draining: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    reclaimable: bool = False
    started_at_unix_ms: int = 0
    leaving_in_seconds: float | None = None
    cold_left_seconds: float = 0.0

    @property
    def start(self) -> str:
        """Key of this start, as INSTANCE@START_MS: a restarted target may keep its identity."""
        return f"{self.instance}@{self.started_at_unix_ms}"

    @property
    def url(self) -> str:
        """The target's address as a URL."""
        return f"http://{self.host}:{self.port}"


@dataclass(slots=True)
class TargetDirectory:
    """One daemon's copy of the platform's list of targets.

    Attributes
    ----------
    entries : dict of str to ListedTarget
        The targets listed, by instance.
    lapsed : dict of str to float
        Targets whose entry was removed while the service was unreachable, and until when
        (monotonic) each may still be used.
    eligibility : Eligibility
        Zones and regions whose targets may not be used.
    """

    entries: dict[str, ListedTarget] = field(default_factory=dict)
    lapsed: dict[str, float] = field(default_factory=dict)
    eligibility: Eligibility = field(default_factory=Eligibility)

    def put(self, target: ListedTarget) -> None:
        """Add or replace an entry."""
        self.entries[target.instance] = target
        self.lapsed.pop(target.instance, None)

    def remove(self, instance: str, now_seconds: float, service_reachable_seconds: float) -> None:
        """Remove an entry that the list no longer has.

        Parameters
        ----------
        instance : str
            The entry's identity.
        now_seconds : float
            Monotonic clock.
        service_reachable_seconds : float
            When the key-value service last became reachable again; minus infinity if it was never
            unreachable.
        """
        if instance not in self.entries:
            return
        deadline_seconds = service_reachable_seconds + LAPSE_GRACE_SECONDS
        if now_seconds < deadline_seconds:
            self.lapsed.setdefault(instance, deadline_seconds)
        else:
            self._discard(instance)

    def at_address(self, host: str, port: int) -> list[ListedTarget]:
        """Return the targets that are listed at an address."""
        return [
            target for target in self.entries.values() if (target.host, target.port) == (host, port)
        ]

    def remove_replaced(self, instance: str) -> None:
        """Remove a target at whose address another target answered."""
        self._discard(instance)

    def usable(
        self,
        service: str,
        now_seconds: float,
        allowed_regions: frozenset[str] | None = None,
    ) -> list[ListedTarget]:
        """Return the targets of a service that may get new work now.

        Parameters
        ----------
        service : str
            The service.
        now_seconds : float
            Monotonic clock.
        allowed_regions : frozenset of str or None, optional
            Regions in which the work may run; None for all.
        """
        self.expire(now_seconds)
        return [
            target
            for target in self.entries.values()
            if target.service == service
            and not target.draining
            and self.eligibility.exclusion(target.zone, allowed_regions) is None
        ]

    def may_receive(
        self, target: ListedTarget, allowed_regions: frozenset[str] | None = None
    ) -> bool:
        """Return whether a target chosen earlier is still eligible; asked right before a send.

        Parameters
        ----------
        target : ListedTarget
            The target.
        allowed_regions : frozenset of str or None, optional
            Regions in which the work may run; None for all.
        """
        return self.eligibility.exclusion(target.zone, allowed_regions) is None

    def exclusions(
        self, service: str, allowed_regions: frozenset[str] | None = None
    ) -> Counter[Exclusion]:
        """Return how many targets of a service are excluded, by reason.

        Targets that are draining are left out, as they get no new work in any case.
        """
        reasons = (
            self.eligibility.exclusion(target.zone, allowed_regions)
            for target in self.entries.values()
            if target.service == service and not target.draining
        )
        return Counter(reason for reason in reasons if reason is not None)

    def evacuated_counts(self) -> dict[str, int]:
        """Return how many targets each service has in evacuated zones, including zero."""
        counts = {target.service: 0 for target in self.entries.values()}
        for target in self.entries.values():
            counts[target.service] += target.zone in self.eligibility.evacuations
        return counts

    def expire(self, now_seconds: float) -> None:
        """Remove lapsed entries whose grace period is over."""
        expired = [name for name, until in self.lapsed.items() if now_seconds >= until]
        for instance in expired:
            self._discard(instance)

    def _discard(self, instance: str) -> None:
        self.entries.pop(instance, None)
        self.lapsed.pop(instance, None)
