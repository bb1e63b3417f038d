"""Decoding of engines' reports."""

import asyncio

import pytest

from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.orders import EngineReport, NoReport, OrderClient
from rackswitch.platform.tests.support import raw_target


async def read_report(body: bytes) -> EngineReport | NoReport:
    """Return the decoded report of an engine that sends a body."""
    sessions = TargetSessions()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    async with raw_target(answer) as (target, _):
        report = await OrderClient(sessions).report(target)
    await sessions.close()
    return report


def test_decodes_load_and_memory():
    report = asyncio.run(
        read_report(b'{"busy":false,"waiting":1,"running":12,"kv_used":41000,"kv_total":90000}')
    )
    assert isinstance(report, EngineReport)
    assert (report.waiting, report.running) == (1, 12)
    assert (report.memory_used_tokens, report.memory_total_tokens) == (41_000, 90_000)


def test_a_report_without_memory_has_a_total_of_zero():
    report = asyncio.run(read_report(b'{"waiting":1,"running":12}'))
    assert isinstance(report, EngineReport)
    assert report.memory_total_tokens == 0


@pytest.mark.parametrize("body", [b'{"kv_used":"many"}', b'{"kv_total":-1}', b"[]", b""])
def test_rejects_a_malformed_report(body):
    assert isinstance(asyncio.run(read_report(body)), NoReport)
