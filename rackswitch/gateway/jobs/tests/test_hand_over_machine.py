"""Hand-overs under random sequences of faults, checked by a reader.

A state machine stops, kills and suspends daemons and makes the service unreachable while jobs run.
Results that were read must never disappear or change, and finally each item is listed once.
"""

import asyncio

import hypothesis.strategies as st
import looptime
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.tests.fault_injection_run import ReadHistory
from rackswitch.gateway.jobs.tests.hand_over_fleet import HandOverFleet, make_batch
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.jobs import JobResult

DAEMONS = "abc"
PIECES = 40
ITEMS = 5
JOBS = ("j", "k")
COMPLETION_TIMEOUT_SECONDS = 60.0


class HandOverMachine(RuleBasedStateMachine):
    """Rules for the faults, and invariants on the results that readers receive."""

    @initialize()
    def start_fleet(self) -> None:
        self.loop = looptime.new_event_loop(noop_cycles=1)
        asyncio.set_event_loop(self.loop)
        self.fleet = self.run(self._start())
        self.history = ReadHistory()
        self.stopping: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.service_down = False

    async def _start(self) -> HandOverFleet:
        fleet = HandOverFleet(DAEMONS, PIECES)
        await asyncio.sleep(1.0)
        for name, job_id in zip(DAEMONS, JOBS, strict=False):
            await fleet.submit(name, make_batch(job_id, ITEMS))
        return fleet

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.3, 1.0, 2.5]))
    def time_passes(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    @rule(name=st.sampled_from(DAEMONS))
    def daemon_is_told_to_stop(self, name: str) -> None:
        if name in self.stopping:
            return
        self.stopping.add(name)
        self.tasks.append(self.loop.create_task(self._stop(name)))
        self.run(asyncio.sleep(0.0))

    async def _stop(self, name: str) -> None:
        process = self.fleet.processes[name]
        await process.stop()
        if self.fleet.processes[name] is process:
            self._restart(name)
            self.stopping.discard(name)

    def _restart(self, name: str) -> None:
        self.fleet.start(name).faults.down = self.service_down

    @rule(name=st.sampled_from(DAEMONS))
    def daemon_crashes_and_restarts(self, name: str) -> None:
        self.run(self._crash(name))
        self.stopping.discard(name)

    async def _crash(self, name: str) -> None:
        await self.fleet.processes[name].context.daemon.cancel_all()
        self._restart(name)

    @rule(name=st.sampled_from(DAEMONS), suspended=st.booleans())
    def daemon_is_suspended_or_resumed(self, name: str, suspended: bool) -> None:
        running = self.fleet.processes[name].kv.running
        running.clear() if suspended else running.set()

    @rule(service_down=st.booleans(), leases_end=st.booleans())
    def service_goes_down_or_recovers(self, service_down: bool, leases_end: bool) -> None:
        self.service_down = service_down
        self.fleet.set_service_down(service_down)
        if leases_end:
            for lease_id in list(self.fleet.kv.leases):
                self.fleet.kv.end_lease(lease_id)

    def readable_results(self, name: str, job_id: str) -> list[JobResult]:
        """Return the results that a daemon serves from memory."""
        process = self.fleet.processes[name]
        owned = process.job_manager.owned.get(job_id)
        if owned is None or not owned.may_serve_results or not process.session.is_valid():
            return []
        return list(owned.ledger.listed)

    @invariant()
    def read_results_stay_unchanged(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.run(self._read())
        assert self.history.violations == []

    async def _read(self) -> None:
        for job_id in JOBS:
            for name, process in self.fleet.processes.items():
                if process.kv.running.is_set():
                    self.history.record_read(job_id, self.readable_results(name, job_id))

    @invariant()
    def no_daemon_fails_an_assertion(self) -> None:
        if not hasattr(self, "fleet"):
            return
        for process in self.fleet.processes.values():
            assert process.context.daemon.violated_invariant is None

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        try:
            self.run(self._wait_until_complete())
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.run(asyncio.sleep(0))
            self.loop.close()

    async def _wait_until_complete(self) -> None:
        self.service_down = False
        for process in self.fleet.processes.values():
            process.kv.running.set()
            process.faults.down = False
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for job_id in JOBS:
            await self.fleet.wait_complete(make_batch(job_id, ITEMS), COMPLETION_TIMEOUT_SECONDS)
            reader = JobStore(make_gateway_context("reader", self.fleet.kv))
            stored = await reader.load_results(job_id, 0)
            assert not isinstance(stored, KvUnavailable)
            self.history.record_read(job_id, stored)
        assert self.history.violations == []
        await self.fleet.stop_all()


class UnlistedResultsMachine(HandOverMachine):
    """A faulty variant in which daemons serve finished results that are not listed."""

    def readable_results(self, name: str, job_id: str) -> list[JobResult]:
        owned = self.fleet.processes[name].job_manager.owned.get(job_id)
        if owned is None:
            return []
        return [*owned.ledger.listed, *owned.ledger.next_segment()[1]]


MACHINE_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

TestHandOvers = HandOverMachine.TestCase
TestHandOvers.settings = MACHINE_SETTINGS


def test_the_machine_detects_owners_that_serve_unlisted_results():
    generate_only = settings(MACHINE_SETTINGS, phases=(Phase.generate,), max_examples=60)
    with pytest.raises(AssertionError, match="changed|listed twice"):
        run_state_machine_as_test(UnlistedResultsMachine, settings=generate_only)
