"""Deadlines that pass while the VM is suspended expire when it resumes."""

import asyncio
import time

import pytest

from rackswitch.clocks import run_on_boot_clock
from rackswitch.clocks.tests.support import suspendable_vm

SUSPENDED_SECONDS = 7.0


@pytest.fixture
def vm():
    with suspendable_vm() as vm:
        yield vm


def test_deadline_that_passes_during_a_suspension_expires_at_once(vm):
    async def scenario():
        started_seconds = time.monotonic()
        loop_seconds = asyncio.get_running_loop().time()
        asyncio.get_running_loop().call_later(
            0.02, setattr, vm, "suspended_seconds", SUSPENDED_SECONDS
        )
        with pytest.raises(TimeoutError):
            async with asyncio.timeout_at(loop_seconds + SUSPENDED_SECONDS - 1.0):
                # Wakes the loop, as received bytes do.
                while True:
                    await asyncio.sleep(0.01)
        assert time.monotonic() - started_seconds < 1.0

    run_on_boot_clock(scenario())
