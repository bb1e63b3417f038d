"""What the client makes of answers that a library alone would take for whole."""

import asyncio
from dataclasses import replace

import pytest

from rackswitch.platform.connections import UNTOLD_KEPT_SECONDS, TargetSessions
from rackswitch.platform.target_calls import TargetClient
from rackswitch.platform.tests.support import keeping_target, raw_target
from rackswitch.requests import Call, TargetAnswer, TargetFailed, TargetStream

HEAD = b"HTTP/1.1 200 OK\r\nX-Rackswitch-Request-Id: r1\r\nX-Rackswitch-Server-Stamp: s\r\n"
CALL = Call("r1", "h.example", "POST", "/a%2Fb?c=%20", (("x-own", "1"), ("x-own", "2")), b"body")


async def answer_with(answer: bytes, reset: bool = False) -> tuple[object, bytes]:
    """Let a target answer with bytes; return what the client makes of them, and the request."""
    sessions = TargetSessions()
    deadline_seconds = asyncio.get_running_loop().time() + 2.0
    async with raw_target(answer, reset) as (target, raw):
        result = await TargetClient(sessions).forward(target, CALL, deadline_seconds, False)
    await sessions.close()
    return result, raw.requests[0]


def test_an_answer_without_length_that_ends_with_its_connection_is_whole():
    result, _ = asyncio.run(answer_with(HEAD + b"\r\nthe whole"))
    assert isinstance(result, TargetAnswer)
    assert result.body == b"the whole"


def test_an_answer_without_length_whose_connection_is_reset_is_not_whole():
    result, _ = asyncio.run(answer_with(HEAD + b"\r\nthe first pa", reset=True))
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
def test_what_is_not_the_targets_whole_answer_may_have_run(answer):
    result, _ = asyncio.run(answer_with(answer))
    assert isinstance(result, TargetFailed)
    assert result.may_have_run


def test_only_the_targets_own_word_says_that_nothing_ran():
    refusal = b"HTTP/1.1 503 X\r\nX-Rackswitch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    result, _ = asyncio.run(answer_with(refusal))
    assert isinstance(result, TargetFailed) and not result.may_have_run
    result, _ = asyncio.run(answer_with(HEAD.replace(b"200 OK", b"503 X") + b"\r\n"))
    assert isinstance(result, TargetAnswer)
    assert result.status == 503


def test_a_call_is_passed_byte_for_byte_with_what_the_platform_wants():
    _, request = asyncio.run(answer_with(HEAD + b"Content-Length: 0\r\n\r\n"))
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
    """Return how many connections two calls took, and how long the last one is kept."""
    sessions = TargetSessions()
    client = TargetClient(sessions)
    async with keeping_target(head + b"\r\nok") as (target, keeping):
        for _ in range(2):
            deadline_seconds = asyncio.get_running_loop().time() + 2.0
            await client.forward(target, CALL, deadline_seconds, False)
        await sessions.close()
    return keeping.connections, sessions.kept_seconds


@pytest.mark.parametrize(
    ("head", "connections"),
    [
        (HEAD + b"Content-Length: 2\r\n", 1),
        # A target that is full says so and goes on; its connection is as good as before.
        (REFUSAL, 1),
        # These may be anybody's bytes.
        (REFUSAL.replace(b"r1", b"r2"), 2),
        (HEAD.replace(b"r1", b"r2") + b"Content-Length: 2\r\n", 2),
        (HEAD + b"Connection: close\r\nContent-Length: 2\r\n", 2),
    ],
)
def test_a_connection_is_kept_where_its_answer_was_the_targets_own(head, connections):
    counted, _ = asyncio.run(connections_for_two_calls(head))
    assert counted == connections


@pytest.mark.parametrize(
    ("told", "kept_seconds"),
    [
        (b"", UNTOLD_KEPT_SECONDS),
        (b"Keep-Alive: timeout=10\r\n", 9.0),
        (b"Keep-Alive: timeout=10, max=5\r\n", 9.0),
        (b"Keep-Alive: timeout=0\r\n", 0.0),
        (b"Keep-Alive: soon\r\n", UNTOLD_KEPT_SECONDS),
    ],
)
def test_a_connection_is_kept_a_little_shorter_than_its_target_keeps_it(told, kept_seconds):
    head = HEAD + told + b"Content-Length: 2\r\n"
    assert asyncio.run(connections_for_two_calls(head))[1] == kept_seconds


def test_the_least_patient_service_decides():
    async def scenario():
        sessions = TargetSessions()
        client = TargetClient(sessions)
        for service, seconds in (("s", 10), ("t", 3), ("s", 20)):
            head = HEAD + b"Keep-Alive: timeout=%d\r\nContent-Length: 2\r\n" % seconds
            async with keeping_target(head + b"\r\nok") as (target, _):
                named = replace(target, service=service)
                deadline_seconds = asyncio.get_running_loop().time() + 2.0
                await client.forward(named, CALL, deadline_seconds, False)
        await sessions.close()
        return sessions.kept_seconds

    assert asyncio.run(scenario()) == 2.0


WORD = b"X-Rackswitch-Server-Load: 6,9,6,120\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nxx"
REFUSAL = (
    b"HTTP/1.1 503 X\r\nX-Rackswitch-Request-Id: r1\r\nX-Rackswitch-Not-Run: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize("as_stream", [False, True])
@pytest.mark.parametrize(
    ("answer", "is_heard"),
    [
        (WHOLE.replace(b"Content", WORD + b"Content"), True),
        (REFUSAL.replace(b"Content", WORD + b"Content"), True),
        (WHOLE, False),
        # Another target has the address, or the answer is an older request's.
        (REFUSAL.replace(b"503", b"421").replace(b"Content", WORD + b"Content"), False),
        (WHOLE.replace(b"r1", b"r0").replace(b"Content", WORD + b"Content"), False),
    ],
)
def test_a_targets_word_is_heard_from_each_answer_of_its_own(answer, is_heard, as_stream):
    async def scenario():
        heard = []
        sessions = TargetSessions(lambda target, word: heard.append((target, word)))
        client = TargetClient(sessions)
        deadline_seconds = asyncio.get_running_loop().time() + 2.0
        async with raw_target(answer) as (target, _):
            send = client.open_stream if as_stream else client.forward
            result = await send(target, CALL, deadline_seconds, False)
            if isinstance(result, TargetStream):
                result.close()
        await sessions.close()
        return target, heard

    target, heard = asyncio.run(scenario())
    told = [(at.start, word.running, word.waiting, word.slots, word.pace) for at, word in heard]
    assert told == ([(target.start, 6, 9, 6, 1.2)] if is_heard else [])
