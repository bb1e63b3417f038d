"""Decodes trainers' calls about batch jobs and encodes the results."""

import re
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from rackswitch.decoding import Undecodable, decode_json, error_detail
from rackswitch.jobs import Job, JobItem, JobResult, RewardCall
from rackswitch.platform.ingress import MalformedRequest
from rackswitch.platform.names import LENGTH_HINT_HEADER, TOKEN_COUNTS_HEADER, WAIT_HEADER
from rackswitch.web.exchange import Exchange

__all__ = [
    "EndJob",
    "JobCall",
    "ReadItem",
    "ReadResults",
    "JobOutline",
    "decode_job_call",
    "decode_job_items",
    "decode_job_outline",
    "encode_results",
]

RESULTS_PATH = "/rackswitch/lots/"
ITEMS_PATH = "/rackswitch/items/"
MAX_WAIT_SECONDS = 30.0
"""Maximum duration of a long poll."""

COUNT_PATTERN = re.compile(r"[0-9]{1,9}")
"""A number of tokens; longer numbers are invalid."""

HEADER_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_VALUE_PATTERN = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
"""Characters allowed in a header's name and value (RFC 9110, sections 5.1 and 5.5)."""


@dataclass(frozen=True, slots=True)
class ReadResults:
    """Read a job's results from a position on, waiting for one if there are none yet."""

    job_id: str
    position: int
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class ReadItem:
    """Read the body of a job's item."""

    job_id: str
    item_id: str


@dataclass(frozen=True, slots=True)
class EndJob:
    """End a job."""

    job_id: str


JobCall = ReadResults | ReadItem | EndJob


class _WireReward(msgspec.Struct):
    id: str
    host: str
    path: str
    body: bytes = b""


class _WireItem(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    tokens: int = 0
    group: str = ""
    scorer: _WireReward | None = None


class _WireJob(msgspec.Struct):
    # Decoded later, so that a job with too many items is refused at low cost.
    items: list[msgspec.Raw]
    step: int = 0
    model: str = ""
    min_version: int = 0
    # Counts complete groups, not items.
    desired_count: int = 0


class _WireResult(msgspec.Struct, omit_defaults=True):
    id: str
    state: str
    text: str | None = None
    versions: tuple[int, ...] | None = None
    score: str | None = None


class _WireResults(msgspec.Struct):
    total: int
    # The position to read from next, not a token.
    next_token: int
    results: list[_WireResult]


def decode_job_call(exchange: Exchange) -> JobCall | MalformedRequest | None:
    """Return a request's call about a batch job; None for any other request."""
    path = exchange.path
    if path.startswith(RESULTS_PATH):
        return _results_call(exchange, path.removeprefix(RESULTS_PATH))
    if path.startswith(ITEMS_PATH) and exchange.method == "GET":
        item_id = _query_value(exchange, "id")
        return ReadItem(path.removeprefix(ITEMS_PATH), item_id or "")
    return None


def _results_call(exchange: Exchange, job_id: str) -> JobCall | MalformedRequest | None:
    if exchange.method == "DELETE":
        return EndJob(job_id)
    if exchange.method != "GET":
        return None
    # A position in the results, not a revision.
    position = _query_value(exchange, "since_rev") or "0"
    if not position.isdigit():
        return MalformedRequest(f"`since_rev` must be a whole number (found {position!r})")
    wait_ms = exchange.header(WAIT_HEADER) or "0"
    if not wait_ms.isdigit():
        return MalformedRequest(f"`{WAIT_HEADER}` must be a whole number (found {wait_ms!r})")
    return ReadResults(job_id, int(position), min(MAX_WAIT_SECONDS, int(wait_ms) / 1000))


def _query_value(exchange: Exchange, name: str) -> str | None:
    values = parse_qs(exchange.query, keep_blank_values=True).get(name)
    return values[0] if values else None


@dataclass(frozen=True, slots=True)
class JobOutline:
    """A batch job whose items are not decoded yet.

    Attributes
    ----------
    job : Job
        The job without items.
    raw_items : list of msgspec.Raw
        The encoded items.
    """

    job: Job
    raw_items: list[msgspec.Raw]


def decode_job_outline(
    job_id: str, host: str, path: str, body: bytes, now_unix_seconds: float
) -> JobOutline | MalformedRequest:
    """Return the batch job in a body, without decoding its items."""
    wire = decode_json(body, _WireJob)
    if isinstance(wire, Undecodable):
        return MalformedRequest(wire.detail)
    job = Job(
        job_id=job_id,
        host=host,
        path=path,
        items=(),
        model=wire.model,
        step=wire.step,
        oldest_version=wire.min_version,
        wanted_groups=wire.desired_count,
        submitted_at_unix_seconds=now_unix_seconds,
    )
    return JobOutline(job, wire.items)


def decode_job_items(
    outline: JobOutline, start: int, count: int
) -> list[JobItem] | MalformedRequest:
    """Decode a range of a job's items, so that a large job can be decoded in batches."""
    items: list[JobItem] = []
    for number, raw in enumerate(outline.raw_items[start : start + count], start=start):
        # msgspec decodes the base64 text of bodies into bytes.
        wire = decode_json(raw, _WireItem)
        if isinstance(wire, Undecodable):
            return MalformedRequest(f"`$.items[{number}]`: {wire.detail}")
        try:
            items.append(_job_item(wire))
        except ValueError as error:
            return MalformedRequest(f"`$.items[{number}]`: {error_detail(error)}")
    return items


def _job_item(wire: _WireItem) -> JobItem:
    _check_headers(wire.headers)
    reward = None
    if wire.scorer is not None:
        scorer = wire.scorer
        reward = RewardCall(
            request_id=scorer.id, host=scorer.host, path=scorer.path, body=scorer.body
        )
    return JobItem(
        item_id=wire.id,
        path=wire.path,
        headers=tuple(wire.headers.items()),
        body=wire.body,
        tokens=wire.tokens,
        expected_tokens=_length_hint(wire.headers),
        group=wire.group,
        reward=reward,
        prompt_tokens=_prompt_tokens(wire.headers, wire.tokens),
    )


def _check_headers(headers: dict[str, str]) -> None:
    """Check that the headers are valid in an HTTP message.

    An invalid one could inject another header or request, or make each run of its item fail.

    Raises
    ------
    ValueError
        If a name or value contains a forbidden character.
    """
    for name, value in headers.items():
        if not HEADER_NAME_PATTERN.fullmatch(name):
            raise ValueError(f"`headers` contains {name!r}, which is not a valid name")
        if not HEADER_VALUE_PATTERN.fullmatch(value):
            raise ValueError(f"`headers` contains a value of {name!r} with control characters")


def _prompt_tokens(headers: dict[str, str], total_tokens: int) -> int:
    """Return an item's prompt tokens, which are part of `total_tokens`; 0 if not stated."""
    for name, value in headers.items():
        if name.lower() == TOKEN_COUNTS_HEADER.lower():
            count = value.partition(",")[0].strip()
            return min(int(count), max(0, total_tokens)) if COUNT_PATTERN.fullmatch(count) else 0
    return 0


def _length_hint(headers: dict[str, str]) -> float:
    for name, value in headers.items():
        if name.lower() == LENGTH_HINT_HEADER.lower():
            try:
                return float(value)
            except ValueError:
                return 0.0
    return 0.0


def encode_results(total: int, position: int, results: list[JobResult]) -> bytes:
    """Return the body that lists the results from a position on."""
    wire = [
        _WireResult(
            id=result.item_id,
            state="completed" if result.completed else "dead",
            text=result.text if result.completed else None,
            versions=result.versions if result.completed else None,
            score=result.score if result.completed and result.score else None,
        )
        for result in results
    ]
    return msgspec.json.encode(_WireResults(total, position + len(results), wire))
