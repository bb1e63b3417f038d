"""Whatever is wrong with bytes becomes a value."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.decoding import Undecodable, decode_json

MAX_DETAIL = 200


class Message(msgspec.Struct):
    name: str
    count: int = 0
    share: float = 0.0


def nested(depth: int, closed: bool = True) -> bytes:
    return b'{"name":"a","other":' + b"[" * depth + b"]" * (depth * closed) + b"}"


@pytest.mark.parametrize(
    "data",
    [
        nested(1500),
        nested(200_000),
        nested(200_000, closed=False),
        nested(1500).replace(b"other", b"name"),
        b'{"name":"a","other":' + b'{"a":' * 1500 + b"1" + b"}" * 1500 + b"}",
        b'{"name":"a","share":1e400}',
        b'{"name":"a","count":1' + b"0" * 5000 + b"}",
        b'{"name":"a","share":NaN}',
        b'{"name":"\xff"}',
        b'{"name":"\\ud800"}',
        b"\x00",
        b"",
    ],
    ids=range(12),
)
def test_invalid_bytes_become_a_value(data):
    """Guards against an error that ends whoever reads an entry of another writer."""
    undecodable = decode_json(data, Message)
    assert isinstance(undecodable, Undecodable)
    assert 0 < len(undecodable.detail) <= MAX_DETAIL


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_value(data):
    assert isinstance(decode_json(data, Message), Message | Undecodable)


def test_unknown_fields_are_ignored():
    assert decode_json(nested(50), Message) == Message("a")
