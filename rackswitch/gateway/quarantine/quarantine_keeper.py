"""What this daemon knows of requests under which targets end."""

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.quarantine.end_watch import EndWatch
from rackswitch.quarantine import TargetEnd
from rackswitch.routing import ListedTarget

__all__ = ["QuarantineKeeper"]


class QuarantineKeeper:
    """Told of every run of a request at a target that broke off.

    Parameters
    ----------
    context : GatewayContext
        The daemon.

    Attributes
    ----------
    watch : EndWatch
        Finds out which targets have ended.
    """

    __slots__ = ("_context", "watch")

    def __init__(self, context: GatewayContext):
        self._context = context
        self.watch = EndWatch(context, self._ended)

    def broke(self, fingerprint: str, target: ListedTarget) -> None:
        """Note that a run of a request broke off at a target."""
        self.watch.broke(fingerprint, target)

    def _ended(self, end: TargetEnd) -> None:
        pass
