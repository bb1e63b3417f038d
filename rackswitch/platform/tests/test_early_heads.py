"""Heads of requests that arrive during a start."""

import pytest

from rackswitch.platform.early_heads import parse_early_head

ARRIVED = 50.0


def head_of(*lines: str) -> bytes:
    return "\r\n".join(("POST /look/1?a=b HTTP/1.1", *lines, "", "body")).encode()


@pytest.mark.parametrize(
    ("lines", "deadline_seconds"),
    [
        (["X-Rackswitch-Deadline-Ms: 1500"], 51.5),
        (["x-rackswitch-deadline-ms:1500", "X-Rackswitch-Wait-Ms: 400"], 51.5),
        (["X-Rackswitch-Wait-Ms: 1000"], 52.5),
        (["X-Rackswitch-Deadline-Ms: -3"], 50.0),
        (["X-Rackswitch-Deadline-Ms: soon"], None),
        (["no colon"], None),
        ([], None),
    ],
)
def test_reads_until_when_a_caller_waits(lines, deadline_seconds):
    # Guards against a request that waits for a start longer than its caller does.
    head = parse_early_head(head_of("X-Rackswitch-Request-Id: r1", *lines), ARRIVED)
    assert (head.request_id, head.path) == ("r1", "/look/1")
    assert head.deadline_seconds == deadline_seconds


@pytest.mark.parametrize("received", [b"", b"POST /look", b"POST / HTTP/1.1\r\nHost: h\r\n"])
def test_an_incomplete_head_is_not_read(received):
    # Guards against an answer to a request that is still being sent.
    assert parse_early_head(received, ARRIVED) is None


def test_a_malformed_head_is_left_to_the_server():
    # Guards against an error that ends the start.
    assert parse_early_head(b"\xff\x00\r\n\r\n", ARRIVED).deadline_seconds is None
