"""Decoding of prompt tokens in the items of batch jobs."""

import msgspec
import pytest

from rackswitch.jobs import JobItem
from rackswitch.platform.job_calls import decode_job_items, decode_job_outline


def decoded_item(headers: dict[str, str], tokens: int = 940) -> JobItem:
    item = {"id": "i", "path": "/p", "headers": headers, "tokens": tokens}
    body = msgspec.json.encode({"items": [item]})
    outline = decode_job_outline("j", "h", "/p", body, 0.0)
    return decode_job_items(outline, 0, 1)[0]


@pytest.mark.parametrize(
    ("counts", "prompt_tokens"),
    [
        ("540,400", 540),
        (" 540 , 400", 540),
        ("540", 540),
        # Limited to the item's total tokens.
        ("5400,400", 940),
        ("", 0),
        ("-5,400", 0),
        ("many,400", 0),
        ("9" * 400, 0),
    ],
)
def test_decodes_the_prompt_tokens_of_an_item(counts, prompt_tokens):
    item = decoded_item({"x-rackswitch-token-counts": counts})
    assert item.prompt_tokens == prompt_tokens


def test_an_item_without_token_counts_has_no_prompt_tokens():
    assert decoded_item({}).prompt_tokens == 0
