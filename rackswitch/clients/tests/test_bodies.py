"""Bodies of answers are read up to a maximum size."""

import asyncio

import aiohttp
import pytest

from rackswitch.clients.bodies import (
    UNCOUNTED_BYTES,
    BodyBudget,
    BodyTooLargeError,
    read_body,
)
from rackswitch.platform.tests.support import endless_target, raw_target

HEAD = b"HTTP/1.1 200 OK\r\n"
MAX_BYTES = 200_000


async def read(target, max_bytes: int, budget: BodyBudget | None = None) -> bytes:
    async with aiohttp.ClientSession() as session, session.get(target.url) as answer:
        return await read_body(answer, max_bytes, budget)


@pytest.mark.parametrize("size_bytes", [0, 10, MAX_BYTES])
@pytest.mark.parametrize("has_length", [False, True])
def test_reads_bodies_up_to_the_maximum(size_bytes, has_length):
    body = b"x" * size_bytes
    length = b"Content-Length: %d\r\n" % size_bytes if has_length else b""

    async def scenario():
        budget = BodyBudget(MAX_BYTES)
        async with raw_target(HEAD + length + b"\r\n" + body) as (target, _):
            assert await read(target, MAX_BYTES, budget) == body
        return budget.used_bytes

    assert asyncio.run(scenario()) == 0


@pytest.mark.parametrize("length", [b"", b"Content-Length: 9000000000\r\n"])
def test_a_body_without_an_end_is_given_up_at_the_maximum(length):
    """Guards against bodies that are limited by the time of their call alone."""

    async def scenario():
        async with endless_target(HEAD + length + b"\r\n", b"x" * 10_000) as (target, raw):
            with pytest.raises(BodyTooLargeError):
                await read(target, MAX_BYTES)
            return raw.sent_bytes

    assert asyncio.run(scenario()) < 20 * MAX_BYTES


def test_large_bodies_share_a_budget_and_small_ones_need_none():
    """Guards against many bodies that together take a daemon's memory."""

    async def scenario():
        budget = BodyBudget(MAX_BYTES)
        async with endless_target(HEAD + b"\r\n", b"x" * 10_000) as (target, _):
            reads = [read(target, 10**9, budget) for _ in range(4)]
            errors = await asyncio.gather(*reads, return_exceptions=True)
        assert all(isinstance(error, BodyTooLargeError) for error in errors)
        assert budget.used_bytes == 0
        assert budget.try_use(MAX_BYTES)
        body = b"x" * UNCOUNTED_BYTES
        async with raw_target(HEAD + b"\r\n" + body) as (target, _):
            assert await read(target, MAX_BYTES, budget) == body

    asyncio.run(scenario())
