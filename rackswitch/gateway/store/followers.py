"""Which daemon to follow, or whether to watch the service oneself."""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["WATCHERS", "FollowChoice"]

WATCHERS = 2
"""Daemons of a fleet that watch the service. Two, so that the death of one is bridged by
the other within a question's time; each more costs some 4 calls a second."""

AVOID_SECONDS = 3.0
"""How long a daemon that could not be followed is left alone."""


@dataclass(slots=True)
class FollowChoice:
    """One daemon's choice.

    Parameters
    ----------
    daemon : str
        This daemon.

    Attributes
    ----------
    is_following : bool
        Whether another daemon's copies are good at present, so that this one need not
        watch the service.
    followed : str
        The daemon that was followed last.
    """

    daemon: str
    is_following: bool = False
    followed: str = ""
    avoided_until_seconds: dict[str, float] = field(default_factory=dict)

    def leader(self, live_zones: Iterable[tuple[str, str]], now_seconds: float) -> str | None:
        """Return the daemon to follow now, or None to watch the service.

        Parameters
        ----------
        live_zones : iterable of (daemon, zone)
            The daemons believed live. Different beliefs cost some calls, nothing else: a
            daemon that follows itself refuses followers.
        now_seconds : float
            Monotonic clock.
        """
        zones = dict(live_zones)
        watchers = sorted(zones)[:WATCHERS]
        if self.daemon in watchers:
            self.is_following = False
            return None
        fit = [
            name
            for name in watchers
            if now_seconds >= self.avoided_until_seconds.get(name, float("-inf"))
        ]
        if not fit:
            self.is_following = False
            return None
        own_zone = zones.get(self.daemon)
        # One in the same zone first: what passes between zones is dear.
        return min(fit, key=lambda name: (zones[name] != own_zone, name))

    def succeeded(self, name: str) -> bool:
        """Note that a daemon can be followed; return whether that is new."""
        is_new = not self.is_following or self.followed != name
        self.is_following = True
        self.followed = name
        self.avoided_until_seconds.pop(name, None)
        return is_new

    def failed(self, name: str, now_seconds: float) -> None:
        """Note that a daemon cannot be followed now."""
        self.is_following = False
        self.avoided_until_seconds[name] = now_seconds + AVOID_SECONDS
