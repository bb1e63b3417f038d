"""Incomplete and foreign answers that the HTTP library accepts must count as failures."""

import asyncio
from dataclasses import replace

import pytest

from rackswitch.platform.connections import DEFAULT_KEEP_ALIVE_SECONDS, TargetSessions
from rackswitch.platform.target_calls import TargetClient
from rackswitch.platform.tests.support import keep_alive_target, raw_target
from rackswitch.requests import Call, TargetAnswer, TargetFailed, TargetStream

HEAD = b"HTTP/1.1 200 OK\r\nX-Rackswitch-Request-Id: r1\r\nX-Rackswitch-Server-Stamp: s\r\n"
CALL = Call("r1", "h.example", "POST", "/a%2Fb?c=%20", (("x-own", "1"), ("x-own", "2")), b"body")


async def forward_call(
    answer: bytes, reset: bool = False, fresh_connection: bool = False
) -> tuple[object, bytes]:
    """Return the client's result for an answer of the given bytes, and the request sent."""
    sessions = TargetSessions()
    deadline_seconds = asyncio.get_running_loop().time() + 2.0
    async with raw_target(answer, reset) as (target, raw):
        client = TargetClient(sessions)
        result = await client.forward(target, CALL, deadline_seconds, fresh_connection)
    await sessions.close()
    return result, raw.requests[0]


def test_an_answer_without_length_is_complete_when_its_connection_closes():
    result, _ = asyncio.run(forward_call(HEAD + b"\r\nthe whole"))
    assert isinstance(result, TargetAnswer)
    assert result.body == b"the whole"


def test_an_answer_without_length_is_incomplete_if_its_connection_is_reset():
    result, _ = asyncio.run(forward_call(HEAD + b"\r\nthe first pa", reset=True))
    assert isinstance(result, TargetFailed)
    assert result.may_have_run


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"Content-Length: 20\r\n\r\nshort",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        HEAD + b"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nxx",
        HEAD.replace(b"r1", b"r2") + b"Content-Length: 2\r\n\r\nxx",
        HEAD.replace(b"X-Rackswitch-Server-Stamp: s\r\n", b"") + b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
        b"these are no bytes of an answer\r\n\r\n",
        b"",
    ],
)
def test_a_call_without_a_complete_answer_of_its_target_may_have_run(answer):
    result, _ = asyncio.run(forward_call(answer))
    assert isinstance(result, TargetFailed)
    assert result.may_have_run


def test_only_the_not_run_header_shows_that_a_call_did_not_run():
    refusal = b"HTTP/1.1 503 X\r\nX-Rackswitch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    result, _ = asyncio.run(forward_call(refusal))
    assert isinstance(result, TargetFailed) and not result.may_have_run
    result, _ = asyncio.run(forward_call(HEAD.replace(b"200 OK", b"503 X") + b"\r\n"))
    assert isinstance(result, TargetAnswer)
    assert result.status == 503


@pytest.mark.parametrize("status", [b"408", b"429", b"503", b"500", b"504"])
def test_a_promise_that_the_target_did_not_make_is_not_passed_on(status):
    # Guards against an unsafe call that callers send again after it has run.
    answer = HEAD.replace(b"200 OK", status + b" X") + b"Content-Length: 0\r\n\r\n"
    result, _ = asyncio.run(forward_call(answer, fresh_connection=True))
    is_promise = status not in (b"500", b"504")
    assert isinstance(result, TargetFailed if is_promise else TargetAnswer)
    assert not is_promise or result.may_have_run


def test_forwards_a_call_unchanged_with_the_platforms_headers():
    _, request = asyncio.run(forward_call(HEAD + b"Content-Length: 0\r\n\r\n"))
    head, _, body = request.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /a%2Fb?c=%20 HTTP/1.1"
    assert body == b"body"
    names = [line.split(b":")[0].lower() for line in lines[1:]]
    assert names.count(b"x-own") == 2
    assert b"X-Rackswitch-Expect-Instance: i-1" in lines
    assert b"Host: h.example" in lines
    assert not {b"accept-encoding", b"user-agent", b"accept"} & set(names)


REFUSAL = (
    b"HTTP/1.1 503 X\r\nX-Rackswitch-Not-Run: 1\r\n"
    b"X-Rackswitch-Request-Id: r1\r\nContent-Length: 2\r\n"
)


async def connections_for_two_calls(head: bytes) -> tuple[int, float]:
    """Return the number of connections of two calls, and the keep-alive timeout."""
    sessions = TargetSessions()
    client = TargetClient(sessions)
    async with keep_alive_target(head + b"\r\nok") as (target, fake_target):
        for _ in range(2):
            deadline_seconds = asyncio.get_running_loop().time() + 2.0
            await client.forward(target, CALL, deadline_seconds, False)
        await sessions.close()
    return fake_target.connections, sessions.keep_alive_seconds


@pytest.mark.parametrize(
    ("head", "connections"),
    [
        (HEAD + b"Content-Length: 2\r\n", 1),
        # After a refusal of the target itself, the connection is reused.
        (REFUSAL, 1),
        # The connection may carry bytes of another answer.
        (REFUSAL.replace(b"r1", b"r2"), 2),
        (HEAD.replace(b"r1", b"r2") + b"Content-Length: 2\r\n", 2),
        (HEAD + b"Connection: close\r\nContent-Length: 2\r\n", 2),
    ],
)
def test_reuses_a_connection_only_after_the_answer_to_its_request(head, connections):
    counted, _ = asyncio.run(connections_for_two_calls(head))
    assert counted == connections


@pytest.mark.parametrize(
    ("keep_alive_header", "kept_seconds"),
    [
        (b"", DEFAULT_KEEP_ALIVE_SECONDS),
        (b"Keep-Alive: timeout=10\r\n", 9.0),
        (b"Keep-Alive: timeout=10, max=5\r\n", 9.0),
        (b"Keep-Alive: timeout=0\r\n", 0.0),
        (b"Keep-Alive: soon\r\n", DEFAULT_KEEP_ALIVE_SECONDS),
    ],
)
def test_keeps_a_connection_for_less_than_its_targets_timeout(keep_alive_header, kept_seconds):
    head = HEAD + keep_alive_header + b"Content-Length: 2\r\n"
    assert asyncio.run(connections_for_two_calls(head))[1] == kept_seconds


def test_uses_the_shortest_keep_alive_timeout_of_all_services():
    async def scenario():
        sessions = TargetSessions()
        client = TargetClient(sessions)
        for service, seconds in (("s", 10), ("t", 3), ("s", 20)):
            head = HEAD + b"Keep-Alive: timeout=%d\r\nContent-Length: 2\r\n" % seconds
            async with keep_alive_target(head + b"\r\nok") as (target, _):
                service_target = replace(target, service=service)
                deadline_seconds = asyncio.get_running_loop().time() + 2.0
                await client.forward(service_target, CALL, deadline_seconds, False)
        await sessions.close()
        return sessions.keep_alive_seconds

    assert asyncio.run(scenario()) == 2.0


LOAD_HEADER = b"X-Rackswitch-Server-Load: 6,9,6,120\r\n"
COMPLETE_ANSWER = HEAD + b"Content-Length: 2\r\n\r\nxx"
REFUSAL = (
    b"HTTP/1.1 503 X\r\nX-Rackswitch-Request-Id: r1\r\nX-Rackswitch-Not-Run: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize("as_stream", [False, True])
@pytest.mark.parametrize(
    ("answer", "is_recorded"),
    [
        (COMPLETE_ANSWER.replace(b"Content", LOAD_HEADER + b"Content"), True),
        (REFUSAL.replace(b"Content", LOAD_HEADER + b"Content"), True),
        (COMPLETE_ANSWER, False),
        # Another target has the address, or the answer belongs to an earlier request.
        (REFUSAL.replace(b"503", b"421").replace(b"Content", LOAD_HEADER + b"Content"), False),
        (
            COMPLETE_ANSWER.replace(b"r1", b"r0").replace(b"Content", LOAD_HEADER + b"Content"),
            False,
        ),
    ],
)
def test_records_the_load_in_each_answer_of_the_target_itself(answer, is_recorded, as_stream):
    async def scenario():
        received = []
        sessions = TargetSessions(lambda target, report: received.append((target, report)))
        client = TargetClient(sessions)
        deadline_seconds = asyncio.get_running_loop().time() + 2.0
        async with raw_target(answer) as (target, _):
            send = client.open_stream if as_stream else client.forward
            result = await send(target, CALL, deadline_seconds, False)
            if isinstance(result, TargetStream):
                result.close()
        await sessions.close()
        return target, received

    target, received = asyncio.run(scenario())
    reports = [
        (source.start, report.running, report.waiting, report.slots, report.pace)
        for source, report in received
    ]
    assert reports == ([(target.start, 6, 9, 6, 1.2)] if is_recorded else [])


def test_times_new_connections_by_the_zone_of_their_target():
    """Guards against path delays that are never measured, or measured on reused connections."""

    async def scenario():
        measured = []
        sessions = TargetSessions(on_connect=lambda zone, seconds: measured.append((zone, seconds)))
        client = TargetClient(sessions)
        deadline_seconds = asyncio.get_running_loop().time() + 2.0
        answer = HEAD + b"Content-Length: 2\r\n\r\nok"
        async with keep_alive_target(answer) as (target, _):
            for _ in range(2):
                result = await client.forward(target, CALL, deadline_seconds, False)
                assert isinstance(result, TargetAnswer)
        await sessions.close()
        return target.zone, measured

    zone, measured = asyncio.run(scenario())
    assert [measured_zone for measured_zone, _ in measured] == [zone]
    assert 0.0 < measured[0][1] < 2.0
