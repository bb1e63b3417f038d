"""Serving replica changes to daemons that follow this one."""

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.store.replica_messages import append_changes
from rackswitch.gateway.store.replica_set import ReplicaSet
from rackswitch.gateway.store.service_watch import ServiceWatch
from rackswitch.peers import gateway_pb2 as pb

__all__ = ["ReplicaServer", "paces_to_send"]

STARTUP_HOLD_SECONDS = 0.25
"""How long a daemon without complete replicas holds a follower's request, so that the first
snapshot after a start of the whole fleet reaches followers at once. Shorter than the follower's
`FOLLOW_SLACK_SECONDS`."""


class ReplicaServer:
    """Answers daemons that follow this one.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    replicas : ReplicaSet
        The replicas whose changes are served.
    paces : EnginePaces
        Engines' paces, exchanged with followers in both directions.
    watch : ServiceWatch
        Tells whether this daemon, as the root, is cut off from the service.
    """

    __slots__ = ("_context", "_replicas", "_paces", "_watch")

    def __init__(
        self, context: GatewayContext, replicas: ReplicaSet, paces: EnginePaces, watch: ServiceWatch
    ):
        self._watch = watch
        self._context = context
        self._replicas = replicas
        self._paces = paces

    async def serve(self, request: pb.FollowRequest) -> pb.FollowReply:
        """Reply at once if the follower lacks changes, else at the next change or confirmation.

        If this daemon is cut off from the service, it replies at once as well, so that followers
        switch to another source before the replicas' age shows the outage.
        """
        self._paces.record_peer_paces(request.paces, self._context.now_seconds())
        if not await self._wait_until_complete():
            return pb.FollowReply(refused=True)
        revisions = {position.prefix: position.revision for position in request.positions}
        received_at_seconds = self._context.now_seconds()
        await self._wait_for_changes(revisions, request.wait_ms / 1000)
        now_seconds = self._context.now_seconds()
        reply = pb.FollowReply(
            paces=paces_to_send(self._context, self._paces),
            held_ms=int((now_seconds - received_at_seconds) * 1000),
            cut_off=self._watch.is_cut_off,
        )
        for prefix, revision in revisions.items():
            if prefix in self._replicas.by_prefix:
                append_changes(reply, self._replicas.by_prefix[prefix], revision, now_seconds)
        return reply

    async def _wait_until_complete(self) -> bool:
        """Wait briefly for complete replicas; return whether they are complete."""
        deadline_seconds = self._context.now_seconds() + STARTUP_HOLD_SECONDS
        while not self._replicas.is_complete:
            if not await self._replicas.wait_for_update(deadline_seconds):
                return False
        return True

    async def _wait_for_changes(self, revisions: dict[str, int], wait_seconds: float) -> None:
        deadline_seconds = self._context.now_seconds() + wait_seconds
        confirmation_rounds = self._replicas.confirmation_rounds
        while self._replicas.confirmation_rounds == confirmation_rounds and not self._has_changes(
            revisions
        ):
            if self._watch.is_cut_off:
                return
            if not await self._replicas.wait_for_update(deadline_seconds):
                return

    def _has_changes(self, revisions: dict[str, int]) -> bool:
        """Return whether a follower lacks entries; a higher revision alone does not count."""
        for prefix, revision in revisions.items():
            replica = self._replicas.by_prefix.get(prefix)
            changes = replica.changes_since(revision) if replica is not None else None
            if changes is not None and (changes.is_complete or changes.entries or changes.deleted):
                return True
        return False


def paces_to_send(context: GatewayContext, paces: EnginePaces) -> list[pb.EnginePace]:
    """Return the engines' paces to send with replica changes."""
    return paces.current_paces(context.now_seconds()) if context.policy.paces_told else []
