"""HTTP handlers of the administration API."""

import asyncio
import itertools
import time
from typing import Any

import msgspec
from blacksheep import Request, Response

from rackswitch.daemon.access import find_operator
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.heartbeats import Heartbeats
from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.table_manager import (
    EditResult,
    EditUnavailable,
    EditUnknown,
    TableManager,
)
from rackswitch.peers.links import PeerUnreachable
from rackswitch.table import (
    Edit,
    EditConflict,
    EditDone,
    EditInvalid,
    OperatorRow,
    Row,
    RowChange,
    StoredRow,
    row_key,
)
from rackswitch.web.handlers import BodyFault, json_response, path_value, read_body, read_json
from rackswitch.web.problems import Problem, problem_response

__all__ = ["AdminHandler"]

EDITING_ROLES = ("edit", "admin")
STATUS_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_STATUS_CALLS = 32
EDIT_ID_HEADER = b"idempotency-key"
REDACTED = "(hidden)"


class EditBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an edit: changes that are applied all or none."""

    changes: tuple[RowChange, ...]
    edit_id: str | None = None
    dry_run: bool = False


class DaemonStatus(msgspec.Struct):
    """State and table revision of one daemon."""

    daemon: str
    zone: str
    state: str
    revision: int | None
    confirmation_age_seconds: float | None


class AdminHandler:
    """Handlers with which operators read and change the table.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    table : TableManager
        Applies edits.
    heartbeats : Heartbeats
        Builds the message that asks peers for their revision.
    roles : RoleManager
        The roles that this daemon holds.
    """

    __slots__ = ("_context", "_counter", "_heartbeats", "_roles", "_table")

    def __init__(
        self,
        context: DaemonContext,
        table: TableManager,
        heartbeats: Heartbeats,
        roles: RoleManager,
    ):
        self._context = context
        self._table = table
        self._heartbeats = heartbeats
        self._roles = roles
        self._counter = itertools.count()

    async def table(self, request: Request) -> Response:
        """``GET /admin/v1/table``: all rows, with their entity tags."""
        operator = self._operator(request)
        if isinstance(operator, Problem):
            return problem_response(operator)
        document = self._context.view.document
        rows = {key: _redacted(stored) for key, stored in document.rows.items()}
        return json_response({"revision": document.revision, "rows": rows})

    async def get_row(self, request: Request) -> Response:
        """``GET /admin/v1/rows/{kind}/{name}``."""
        operator = self._operator(request)
        if isinstance(operator, Problem):
            return problem_response(operator)
        stored = self._context.view.document.rows.get(_key(request))
        if stored is None:
            return problem_response(Problem(404, "not-found", f"No row {_key(request)}."))
        return json_response(_redacted(stored), headers=[(b"etag", _etag(stored.revision))])

    async def put_row(self, request: Request) -> Response:
        """``PUT /admin/v1/rows/{kind}/{name}``, conditional by ``If-Match``."""
        body = await read_json(request, Row, self._context.settings.most_body_bytes)  # type: ignore[arg-type]
        if isinstance(body, BodyFault):
            return problem_response(body.problem)
        if row_key(body) != _key(request):
            detail = f"The row is {row_key(body)}, the path says {_key(request)}."
            return problem_response(Problem(400, "bad-request", detail))
        return await self._edit_one(request, RowChange(row=body))

    async def delete_row(self, request: Request) -> Response:
        """``DELETE /admin/v1/rows/{kind}/{name}``, conditional by ``If-Match``."""
        await read_body(request, self._context.settings.most_body_bytes)
        return await self._edit_one(request, RowChange(remove=_key(request)))

    async def edit(self, request: Request) -> Response:
        """``POST /admin/v1/edits``: several changes, applied all or none."""
        body = await read_json(request, EditBody, self._context.settings.most_body_bytes)
        if isinstance(body, BodyFault):
            return problem_response(body.problem)
        return await self._submit(request, body.changes, body.edit_id, body.dry_run)

    async def history(self, request: Request) -> Response:
        """``GET /admin/v1/history``: the recorded edits, newest last."""
        operator = self._operator(request)
        if isinstance(operator, Problem):
            return problem_response(operator)
        return json_response({"edits": self._context.view.document.edits})

    async def status(self, request: Request) -> Response:
        """``GET /admin/v1/status``: the table revision of each daemon."""
        operator = self._operator(request)
        if isinstance(operator, Problem):
            return problem_response(operator)
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_STATUS_CALLS)
        members = [member.update.daemon for member in self._context.membership.members.values()]
        peers = await asyncio.gather(*(self._peer_status(name, semaphore) for name in members))
        own = DaemonStatus(
            daemon=self._context.settings.daemon,
            zone=self._context.settings.zone,
            state=self._context.membership.own.state.name.lower(),
            revision=self._context.view.revision,
            confirmation_age_seconds=self._table.confirmation_age_seconds(),
        )
        roles = [role for role in self._roles.roles if self._roles.may_act(role)]
        daemons = sorted([own, *peers], key=lambda status: status.daemon)
        return json_response({"daemons": daemons, "roles_here": sorted(roles)})

    async def _peer_status(self, daemon: str, semaphore: asyncio.Semaphore) -> DaemonStatus:
        peer = self._context.membership.address(daemon)
        if peer is None:
            return DaemonStatus(daemon, "", "unknown", None, None)
        async with semaphore:
            reply = await self._context.links.call(
                peer,
                lambda stub: stub.Heartbeat,
                self._heartbeats.message(),
                STATUS_TIMEOUT_SECONDS,
            )
        state = peer.state.name.lower()
        if isinstance(reply, PeerUnreachable):
            return DaemonStatus(daemon, peer.zone, f"{state}, no answer", None, None)
        return DaemonStatus(
            daemon, peer.zone, state, reply.table_revision, reply.confirmation_age_seconds
        )

    def _operator(self, request: Request, edits: bool = False) -> OperatorRow | Problem:
        operator = find_operator(
            self._context.view, request, self._context.settings.operator_token_sha256
        )
        if operator is None:
            return Problem(401, "unauthorized", "Unknown bearer token.")
        if edits and operator.role not in EDITING_ROLES:
            return Problem(403, "forbidden", f"The role {operator.role!r} may not edit.")
        return operator

    async def _edit_one(self, request: Request, change: RowChange) -> Response:
        required_revision = _required_revision(request)
        if isinstance(required_revision, Problem):
            return problem_response(required_revision)
        conditional = msgspec.structs.replace(change, if_revision=required_revision)
        return await self._submit(request, (conditional,), None, False)

    async def _submit(
        self,
        request: Request,
        changes: tuple[RowChange, ...],
        edit_id: str | None,
        dry_run: bool,
    ) -> Response:
        operator = self._operator(request, edits=True)
        if isinstance(operator, Problem):
            return problem_response(operator)
        header = (request.get_first_header(EDIT_ID_HEADER) or b"").decode("latin-1")
        supplied_id = edit_id or header
        edit = Edit(
            edit_id=f"{operator.name}/{supplied_id or self._new_edit_id()}",
            operator=operator.name,
            at_unix_seconds=time.time(),
            changes=changes,
        )
        result = await self._table.submit(edit, dry_run, may_be_retry=bool(supplied_id))
        return _edit_response(result)

    def _new_edit_id(self) -> str:
        random_part = self._context.rng.randrange(1 << 60)
        return f"{self._context.settings.daemon}-{random_part:x}-{next(self._counter)}"


def _edit_response(result: EditResult) -> Response:
    if isinstance(result, EditDone):
        return json_response(
            {"accepted": True, "revision": result.revision},
            headers=[(b"etag", _etag(result.revision))],
        )
    if isinstance(result, EditConflict):
        present = None if result.present is None else _redacted(result.present)
        body = {
            "type": "urn:rackswitch:problem:conflict",
            "title": "conflict",
            "status": 412,
            "detail": f"Row {result.key} is not as the edit expects.",
            "present": present,
        }
        return json_response(body, 412)
    if isinstance(result, EditInvalid):
        detail = f"{result.key}: `{result.field}`: {result.detail}"
        return problem_response(Problem(422, "invalid-edit", detail))
    if isinstance(result, EditUnknown):
        detail = "The edit may have been accepted; send it again with the same edit_id to find out."
        return problem_response(Problem(504, "edit-unknown", detail, "unknown", 2.0))
    if isinstance(result, EditUnavailable):
        detail = "The key-value service does not answer; the edit was not accepted."
        return problem_response(Problem(503, "store-unavailable", detail, "no", 2.0))
    raise TypeError(result)


def _redacted(stored: StoredRow) -> dict[str, Any]:
    """Return a row as operators see it, with token hashes hidden."""
    row = msgspec.to_builtins(stored.row)
    if "token_sha256" in row:
        row["token_sha256"] = REDACTED
    if "key_sha256" in row:
        row["key_sha256"] = [REDACTED] * len(row["key_sha256"])
    return {"revision": stored.revision, "row": row}


def _key(request: Request) -> str:
    return f"{path_value(request, 'kind')}/{path_value(request, 'name')}"


def _etag(revision: int) -> bytes:
    return f'"{revision}"'.encode()


def _required_revision(request: Request) -> int | None | Problem:
    """Return the revision that the row must have: 0 for no row, None for any revision."""
    if request.get_first_header(b"if-none-match") == b"*":
        return 0
    header = request.get_first_header(b"if-match")
    if header is None:
        detail = "Send If-Match with the row's entity tag, If-Match: *, or If-None-Match: *."
        return Problem(428, "condition-required", detail)
    if header == b"*":
        return None
    text = header.strip(b'"')
    if not text.isdigit():
        return Problem(400, "bad-request", "`If-Match` is not an entity tag of this API.")
    return int(text)
