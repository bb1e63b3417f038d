"""Items of batch jobs as trainers send them."""

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
        # More than all of its tokens: the whole is what counts.
        ("5400,400", 940),
        ("", 0),
        ("-5,400", 0),
        ("many,400", 0),
        ("9" * 400, 0),
    ],
)
def test_the_tokens_of_an_items_prompt(counts, prompt_tokens):
    item = decoded_item({"x-rackswitch-token-counts": counts})
    assert item.prompt_tokens == prompt_tokens


def test_an_item_that_does_not_count_its_prompt():
    assert decoded_item({}).prompt_tokens == 0
