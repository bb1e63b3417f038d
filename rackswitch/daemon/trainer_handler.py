"""HTTP handlers for trainers."""

import msgspec
from blacksheep import Content, Request, Response

from rackswitch.daemon.access import find_trainer
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.ledger_manager import LedgerManager
from rackswitch.daemon.peers import LedgerAnswer
from rackswitch.samples import Draw, StepPlan
from rackswitch.web.handlers import BodyFault, path_value, read_json
from rackswitch.web.problems import Problem, problem_response

__all__ = ["TrainerHandler"]

RETRY_AFTER_SECONDS = 1.0


class TrainerHandler:
    """Handles trainers' requests; any daemon accepts them.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    ledgers : LedgerManager
        Calls the trainers' ledgers.
    """

    __slots__ = ("_context", "_ledgers")

    def __init__(self, context: DaemonContext, ledgers: LedgerManager):
        self._context = context
        self._ledgers = ledgers

    async def plan(self, request: Request) -> Response:
        """``POST /v1/trainers/{trainer}/plans``."""
        return await self._call(request, "plan", StepPlan)

    async def draw(self, request: Request) -> Response:
        """``POST /v1/trainers/{trainer}/draws``."""
        return await self._call(request, "draw", Draw)

    async def _call(self, request: Request, operation: str, body_type: type) -> Response:
        body = await read_json(request, body_type, self._context.settings.most_body_bytes)
        if isinstance(body, BodyFault):
            return problem_response(body.problem)
        refusal = self._refusal(request)
        if refusal is not None:
            return problem_response(refusal)
        name = path_value(request, "trainer")
        answer = await self._ledgers.call(name, operation, msgspec.json.encode(body))
        return _response(answer)

    def _refusal(self, request: Request) -> Problem | None:
        now_seconds = self._context.now_seconds()
        if self._context.stopping:
            return Problem(503, "stopping", "This daemon is stopping.", "no", RETRY_AFTER_SECONDS)
        refuses = self._context.settings.freshness.trainers == "refuse"
        if refuses and not self._context.view.is_confirmed(now_seconds):
            detail = "The table in force is not confirmed, so the bound may have changed."
            return Problem(503, "table-unconfirmed", detail, "no", RETRY_AFTER_SECONDS)
        trainer = find_trainer(self._context.view, request)
        if trainer is None or trainer.name != path_value(request, "trainer"):
            return Problem(401, "unauthorized", "The bearer token is not this trainer's.")
        return None


def _response(answer: LedgerAnswer) -> Response:
    if answer.status == 200:
        return Response(200, content=Content(b"application/json", answer.body))
    return problem_response(msgspec.json.decode(answer.body, type=Problem))
