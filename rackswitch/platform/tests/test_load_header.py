"""What is read from a target's word, and what is no word."""

import pytest

from rackswitch.platform.load_header import load_word_of
from rackswitch.platform.names import SERVER_LOAD_HEADER
from rackswitch.routing import ReportedLoad


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("6,9,8", ReportedLoad(6, 9, 8, None, 1.5)),
        (" 6, 9 ,8 ", ReportedLoad(6, 9, 8, None, 1.5)),
        ("6,9,8,120", ReportedLoad(6, 9, 8, 1.2, 1.5)),
        ("0,0,6,55", ReportedLoad(0, 0, 6, 0.55, 1.5)),
        # What later services may add is not ours to read.
        ("6,9,8,120,7,x", ReportedLoad(6, 9, 8, 1.2, 1.5)),
        ("6,9", None),
        ("", None),
        (",,,", None),
        ("a,b,c", None),
        ("6,9,8,", None),
        ("6,9,8,fast", None),
        ("6,9,8,0", None),
        ("6,9,8,-5", None),
        ("6,9,8,1e9", None),
        ("6,9,8,99999999", None),
        ("6,9,0,100", None),
        ("-1,0,6", None),
        ("6.5,0,6", None),
        # Digits to Unicode, but no numbers to anyone.
        ("²,0,6", None),
        ("٣,0,6", None),
        ("9" * 5000 + ",0,6", None),
    ],
)
def test_a_word_is_read_whole_or_not_at_all(text, word):
    assert load_word_of({SERVER_LOAD_HEADER: text}, 1.5) == word


def test_an_answer_without_a_word_says_nothing():
    assert load_word_of({}, 1.5) is None
