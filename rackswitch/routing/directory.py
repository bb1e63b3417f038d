"""The targets that the platform lists, and which of them may get new work.

Targets list themselves in the platform's key-value service under a lease. An
entry that goes means that the target has left, unless the service itself was
away: then entries lapse though their targets live, and are back shortly after
the service is.
"""

from dataclasses import dataclass, field

__all__ = ["ListedTarget", "TargetDirectory"]

LAPSE_GRACE_SECONDS = 2.0
"""How long an entry that lapsed with the service may take to come back.

Source: the platform's operators; a live target lists itself again within about two
seconds of the service's return.
"""


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as it describes itself in the platform's list.

    Attributes
    ----------
    instance : str
        Identity of the target. Some keep it over a restart; `start` tells their starts apart.
    draining : bool
        Whether it is leaving and must get no new work.
    versions : dict of str to int
        The weights it has loaded, by model.
    reclaimable : bool
        Whether the platform may take it away at short notice.
    started_at_unix_ms : int
        When it started; 0 if it does not say.
    leaving_in_seconds : float or None
        How long it would still be there, told when it wrote its entry; None if it does not leave
        or does not say.
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

    @property
    def start(self) -> str:
        """Key of this start, as INSTANCE@START_MS: a target may come back under its identity."""
        return f"{self.instance}@{self.started_at_unix_ms}"

    @property
    def url(self) -> str:
        """The target's address as a URL."""
        return f"http://{self.host}:{self.port}"


@dataclass(slots=True)
class TargetDirectory:
    """What one daemon knows of the platform's list.

    Attributes
    ----------
    entries : dict of str to ListedTarget
        The targets listed, by instance.
    lapsed : dict of str to float
        Targets whose entry went while the service was away, and until when (monotonic)
        each may still be used.
    """

    entries: dict[str, ListedTarget] = field(default_factory=dict)
    lapsed: dict[str, float] = field(default_factory=dict)

    def put(self, target: ListedTarget) -> None:
        """Take in an entry."""
        self.entries[target.instance] = target
        self.lapsed.pop(target.instance, None)

    def remove(self, instance: str, now_seconds: float, service_back_seconds: float) -> None:
        """Take an entry out that the list no longer has.

        Parameters
        ----------
        instance : str
            The entry's identity.
        now_seconds : float
            Monotonic clock.
        service_back_seconds : float
            When the key-value service was last back from being away; minus infinity if it
            never was.
        """
        if instance not in self.entries:
            return
        deadline_seconds = service_back_seconds + LAPSE_GRACE_SECONDS
        if now_seconds < deadline_seconds:
            self.lapsed.setdefault(instance, deadline_seconds)
        else:
            self._forget(instance)

    def at_address(self, host: str, port: int) -> list[ListedTarget]:
        """Return the targets that are listed at an address."""
        return [
            target for target in self.entries.values() if (target.host, target.port) == (host, port)
        ]

    def disown(self, instance: str) -> None:
        """Note that another target answered at this one's address."""
        self._forget(instance)

    def usable(self, service: str, now_seconds: float) -> list[ListedTarget]:
        """Return the targets of a service that may get new work now."""
        self.expire(now_seconds)
        return [
            target
            for target in self.entries.values()
            if target.service == service and not target.draining
        ]

    def expire(self, now_seconds: float) -> None:
        """Forget lapsed entries whose grace is over."""
        over = [name for name, until in self.lapsed.items() if now_seconds >= until]
        for instance in over:
            self._forget(instance)

    def _forget(self, instance: str) -> None:
        self.entries.pop(instance, None)
        self.lapsed.pop(instance, None)
