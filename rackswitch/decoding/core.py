"""Decodes JSON that other processes have written; whatever is wrong with it becomes a value."""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

__all__ = ["DECODE_ERRORS", "Undecodable", "decode_json", "error_detail"]

T = TypeVar("T")

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
"""All errors that a decoder raises because of its input. Deep nesting raises a RecursionError, also
within fields that are not known, and invalid UTF-8 a ValueError."""

MAX_DETAIL_LENGTH = 200
"""Maximum length of a message, which may quote the input."""


@dataclass(frozen=True, slots=True)
class Undecodable:
    """Why bytes are no message of the expected type."""

    detail: str


def decode_json(
    data: bytes | str | msgspec.Raw, kind: type[T], strict: bool = True
) -> T | Undecodable:
    """Return the message that bytes encode as JSON.

    Parameters
    ----------
    data : bytes, str or msgspec.Raw
        The bytes, of any content.
    kind : type
        Type of the message.
    strict : bool, optional
        Whether numbers may not be encoded as strings.
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=strict)
    except DECODE_ERRORS as error:
        return Undecodable(error_detail(error))


def error_detail(error: BaseException) -> str:
    """Return an error's message for logs and answers, shortened."""
    return str(error)[:MAX_DETAIL_LENGTH]
