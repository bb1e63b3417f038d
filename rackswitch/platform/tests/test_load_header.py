"""A malformed load header must be ignored completely."""

import pytest

from rackswitch.platform.load_header import parse_load_report
from rackswitch.platform.names import SERVER_LOAD_HEADER
from rackswitch.routing import ReportedLoad


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("6,9,8", ReportedLoad(6, 9, 8, None, 1.5)),
        (" 6, 9 ,8 ", ReportedLoad(6, 9, 8, None, 1.5)),
        ("6,9,8,120", ReportedLoad(6, 9, 8, 1.2, 1.5)),
        ("0,0,6,55", ReportedLoad(0, 0, 6, 0.55, 1.5)),
        # Additional fields are ignored.
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
        # Unicode digits are not ASCII digits.
        ("²,0,6", None),
        ("٣,0,6", None),
        ("9" * 5000 + ",0,6", None),
    ],
)
def test_parses_a_valid_load_header_and_ignores_others(text, report):
    assert parse_load_report({SERVER_LOAD_HEADER: text}, 1.5) == report


def test_an_answer_without_a_load_header_has_no_report():
    assert parse_load_report({}, 1.5) is None
