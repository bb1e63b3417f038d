"""How current the table in force is known to be."""

from dataclasses import dataclass

__all__ = ["TableConfirmation"]

MAX_AGE_SECONDS = 2.0
"""Time within which a change has to be in force, so that a table confirmed since then is as good as
any."""


@dataclass(slots=True)
class TableConfirmation:
    """The last confirmation of the table by the key-value service, directly or through a peer.

    Calls are served by the table in force however old it is. What ends accepted work for good must
    not follow from a table that lacks earlier changes, such as one from a stale read after a start,
    since it cannot be taken back when the newer table arrives.

    Attributes
    ----------
    revision : int
        The service's revision as of which the table is complete; 0 before the first confirmation.
    at_seconds : float
        When the service confirmed it (monotonic).
    """

    revision: int = 0
    at_seconds: float = float("-inf")

    def record(self, revision: int, at_seconds: float) -> None:
        """Record a confirmation."""
        self.revision = max(self.revision, revision)
        self.at_seconds = max(self.at_seconds, at_seconds)

    def covers(self, revision: int) -> bool:
        """Return whether the table includes all changes before a write of this revision."""
        return self.revision > 0 and self.revision >= revision

    def is_current(self, now_seconds: float, min_revision: int = 0) -> bool:
        """Return whether decisions that cannot be taken back may follow from the table.

        Parameters
        ----------
        now_seconds : float
            The current time (monotonic).
        min_revision : int, optional
            Revision of the write that the decision is about. The table must include all changes
            that were made before it.
        """
        is_recent = now_seconds <= self.at_seconds + MAX_AGE_SECONDS
        return is_recent and self.covers(min_revision)
