"""Who a request comes from, and what they may do."""

import hashlib
import hmac
from typing import TypeVar

from blacksheep import Request

from rackswitch.table import OperatorRow, TableView, TenantRow, TrainerRow

__all__ = ["find_operator", "find_tenant", "find_trainer"]

BEARER = b"Bearer "
BOOTSTRAP_OPERATOR = "bootstrap"

RowT = TypeVar("RowT", TenantRow, TrainerRow, OperatorRow)


def find_tenant(view: TableView, request: Request) -> TenantRow | None:
    """Return the caller whose token the request carries, or None."""
    return _find(view, request, TenantRow)


def find_trainer(view: TableView, request: Request) -> TrainerRow | None:
    """Return the trainer whose token the request carries, or None."""
    return _find(view, request, TrainerRow)


def find_operator(view: TableView, request: Request, own_sha256: str) -> OperatorRow | None:
    """Return the operator whose token the request carries, or None.

    The token of the settings always works, since a new table holds no operators.
    """
    digest = _token_digest(request)
    if digest is not None and hmac.compare_digest(digest, own_sha256):
        return OperatorRow(name=BOOTSTRAP_OPERATOR, token_sha256=own_sha256, role="admin")
    return _find(view, request, OperatorRow)


def _find(view: TableView, request: Request, kind: type[RowT]) -> RowT | None:
    digest = _token_digest(request)
    if digest is None:
        return None
    found = None
    # All rows are compared, so that the time taken does not tell which one matched.
    for row in view.rows(kind):
        if any(hmac.compare_digest(digest, own) for own in _digests(row)):
            found = row
    return found


def _digests(row: TenantRow | TrainerRow | OperatorRow) -> tuple[str, ...]:
    return row.key_sha256 if isinstance(row, TenantRow) else (row.token_sha256,)


def _token_digest(request: Request) -> str | None:
    header = request.get_first_header(b"authorization")
    if header is None or not header.startswith(BEARER):
        return None
    return hashlib.sha256(header[len(BEARER) :]).hexdigest()
