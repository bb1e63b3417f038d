"""Authenticate callers, trainers and operators by bearer token."""

import hashlib
import hmac
from typing import TypeVar

from blacksheep import Request

from rackswitch.table import OperatorRow, TableView, TenantRow, TrainerRow

__all__ = ["find_operator", "find_tenant", "find_trainer"]

BEARER_PREFIX = b"Bearer "
BOOTSTRAP_OPERATOR = "bootstrap"

RowT = TypeVar("RowT", TenantRow, TrainerRow, OperatorRow)


def find_tenant(view: TableView, request: Request) -> TenantRow | None:
    """Return the caller whose token the request carries, or None."""
    return _find(view, request, TenantRow)


def find_trainer(view: TableView, request: Request) -> TrainerRow | None:
    """Return the trainer whose token the request carries, or None."""
    return _find(view, request, TrainerRow)


def find_operator(view: TableView, request: Request, bootstrap_sha256: str) -> OperatorRow | None:
    """Return the operator whose token the request carries, or None.

    The token in the settings is always accepted, since a new table has no operators.
    """
    digest = _token_digest(request)
    if digest is not None and hmac.compare_digest(digest, bootstrap_sha256):
        return OperatorRow(name=BOOTSTRAP_OPERATOR, token_sha256=bootstrap_sha256, role="admin")
    return _find(view, request, OperatorRow)


def _find(view: TableView, request: Request, row_type: type[RowT]) -> RowT | None:
    digest = _token_digest(request)
    if digest is None:
        return None
    found = None
    # Compare all rows, so that the response time does not reveal which row matched.
    for row in view.rows(row_type):
        if any(hmac.compare_digest(digest, row_digest) for row_digest in _row_digests(row)):
            found = row
    return found


def _row_digests(row: TenantRow | TrainerRow | OperatorRow) -> tuple[str, ...]:
    return row.key_sha256 if isinstance(row, TenantRow) else (row.token_sha256,)


def _token_digest(request: Request) -> str | None:
    header = request.get_first_header(b"authorization")
    if header is None or not header.startswith(BEARER_PREFIX):
        return None
    return hashlib.sha256(header[len(BEARER_PREFIX) :]).hexdigest()
