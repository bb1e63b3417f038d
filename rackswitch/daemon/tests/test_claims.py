"""Guards against non-repeatable requests that run twice, and false "not run" answers."""

import asyncio
import dataclasses
import random
from collections import Counter

import pytest

from rackswitch.clients.plain_service import PlainAnswer, PlainFailed
from rackswitch.daemon.claim_store import ClaimFound, ClaimStore, ClaimsUnavailable
from rackswitch.daemon.service_calls import ServiceCall, ServiceDispatcher
from rackswitch.daemon.target_choice import TargetChooser
from rackswitch.daemon.tests.support import make_context, run_on_virtual_clock
from rackswitch.outcomes import Completed, NotRun, Outcome
from rackswitch.requests import Claim, ClaimDecision
from rackswitch.routing import Target
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import RouteChoice, RouteRow, TargetRow, TenantRow

DAEMONS = 3
KEYS = 30
TENANT = TenantRow(name="t")
ROUTE = RouteRow(name="jobs", choices=(RouteChoice(serves="jobs"),))
ROWS = [TargetRow(name=f"s{n}", url=f"u{n}", zone="z", serves="jobs") for n in range(2)]


class FakeService:
    """Counts runs by key; randomly refuses connections and loses answers."""

    def __init__(self, rng: random.Random, failure_probability: float = 0.15):
        self.runs: Counter[str] = Counter()
        self._rng = rng
        self._failure_probability = failure_probability

    async def call(self, url, request):
        await asyncio.sleep(self._rng.random() * 0.05)
        if self._rng.random() < self._failure_probability:
            return PlainFailed(False, "cannot connect")
        self.runs[request.idempotency_key] += 1
        await asyncio.sleep(self._rng.random() * 0.5)
        if self._rng.random() < self._failure_probability:
            return PlainFailed(True, "no answer")
        return PlainAnswer(200, request.idempotency_key.encode(), "text/plain")


class FakeTargets:
    def __init__(self):
        self._targets = [(row, Target(row.name, row.url, row.zone)) for row in ROWS]

    def allowed(self, choice):
        return self._targets


class UnconditionalClaims(ClaimStore):
    """Reads the claim and then writes it without a condition."""

    async def claim(self, keys, claim, deadline_seconds):
        read = await self._context.kv.read(keys[0])
        if getattr(read, "entries", ()):
            return ClaimFound(ClaimDecision.IN_DOUBT, claim)
        await self._write(keys, claim, None)
        return ClaimFound(ClaimDecision.RUN, claim)


def make_call(key: str, now_seconds: float) -> ServiceCall:
    return ServiceCall(
        tenant=TENANT,
        route=ROUTE,
        method="POST",
        path="x",
        body=key.encode(),
        media_type="text/plain",
        repeatable=False,
        idempotency_key=key,
        deadline_seconds=now_seconds + 10,
        arrived_seconds=now_seconds,
    )


def make_dispatcher(context, claims: ClaimStore, service: FakeService) -> ServiceDispatcher:
    chooser = TargetChooser(context, FakeTargets())
    return ServiceDispatcher(context, chooser, claims, service)


async def send_duplicates_under_faults(
    seed: int, claims_class: type[ClaimStore]
) -> tuple[list[str], Counter[str]]:
    """Send each key several times, to random daemons, under store faults and crashes."""
    rng = random.Random(seed)
    store = KvStore()
    faults = KvFaults(lost_request=0.08, lost_answer=0.12, late_effect=0.06, refused=0.04)
    service = FakeService(rng)
    violations: list[str] = []
    outcome_counts: Counter[str] = Counter()

    def start_daemon(number: int) -> ServiceDispatcher:
        context = make_context(f"d{number}", store, rng, faults)
        return make_dispatcher(context, claims_class(context), service)

    dispatchers = [start_daemon(number) for number in range(DAEMONS)]
    running: dict[ServiceDispatcher, set[asyncio.Task]] = {}

    async def send(key: str) -> Outcome | None:
        dispatcher = rng.choice(dispatchers)
        call = make_call(key, asyncio.get_running_loop().time())
        work = asyncio.create_task(dispatcher.call(call))
        running.setdefault(dispatcher, set()).add(work)
        if dispatcher in dispatchers and rng.random() < 0.1:
            # The daemon crashes during the call; its replacement starts without state.
            await asyncio.sleep(rng.random() * 0.6)
            for task in running[dispatcher]:
                task.cancel()
            await dispatcher._context.cancel_all()
            if dispatcher in dispatchers:
                dispatchers[dispatchers.index(dispatcher)] = start_daemon(rng.randrange(1000))
        try:
            return await work
        except asyncio.CancelledError:
            return None

    async def send_with_retries(key: str) -> None:
        await asyncio.sleep(rng.random() * 20)
        answers: list[Outcome | None] = []
        if rng.random() < 0.4:
            answers += await asyncio.gather(send(key), send(key))
        for _ in range(3):
            if any(isinstance(answer, Completed) for answer in answers):
                break
            answers.append(await send(key))
            await asyncio.sleep(1.0)
        outcome_counts.update(type(answer).__name__ for answer in answers)
        if answers and all(isinstance(answer, NotRun) for answer in answers) and service.runs[key]:
            violations.append(f"{key}: ran, although every answer says not run")
        for answer in answers:
            if isinstance(answer, Completed) and answer.body != key.encode():
                violations.append(f"{key}: received the answer of another request")

    async def outages() -> None:
        for _ in range(3):
            await asyncio.sleep(rng.random() * 8)
            faults.down = True
            await asyncio.sleep(rng.random() * 4)
            faults.down = False

    await asyncio.gather(outages(), *(send_with_retries(f"k{number}") for number in range(KEYS)))
    await asyncio.sleep(15)
    violations += [f"{key} ran {count} times" for key, count in service.runs.items() if count > 1]
    return violations, outcome_counts


@pytest.mark.parametrize("seed", range(30))
def test_requests_run_at_most_once_and_refusals_are_true(seed):
    violations, outcome_counts = run_on_virtual_clock(
        send_duplicates_under_faults(seed, ClaimStore)
    )
    assert violations == []
    assert outcome_counts["Completed"] > 0


def test_unconditional_claims_run_requests_twice():
    assert any(
        run_on_virtual_clock(send_duplicates_under_faults(seed, UnconditionalClaims))[0]
        for seed in range(6)
    )


def test_duplicate_gets_the_original_answer():
    async def twice():
        rng = random.Random(3)
        store = KvStore()
        service = FakeService(random.Random(2), failure_probability=0.0)
        outcomes = []
        for number in range(2):
            context = make_context(f"d{number}", store, rng)
            dispatcher = make_dispatcher(context, ClaimStore(context), service)
            outcomes.append(await dispatcher.call(make_call("k", 0.0)))
            await asyncio.sleep(1)
        return outcomes, service.runs["k"]

    (first, second), runs = run_on_virtual_clock(twice())
    assert runs == 1
    assert isinstance(first, Completed)
    assert second == first


def test_key_used_for_another_request_is_refused():
    async def reuse():
        context = make_context("d0", KvStore(), random.Random(1))
        dispatcher = make_dispatcher(
            context, ClaimStore(context), FakeService(random.Random(2), failure_probability=0.0)
        )
        call = make_call("k", 0.0)
        await dispatcher.call(call)
        await asyncio.sleep(1)
        other = dataclasses.replace(make_call("k", 0.0), body=b"another")
        return await dispatcher.call(other)

    outcome = run_on_virtual_clock(reuse())
    assert isinstance(outcome, NotRun)
    assert "another request" in outcome.detail


def test_store_outage_refuses_without_running():
    async def refused():
        service = FakeService(random.Random(1))
        context = make_context("d0", KvStore(), random.Random(1), KvFaults(down=True))
        dispatcher = make_dispatcher(context, ClaimStore(context), service)
        loop = asyncio.get_running_loop()
        started_seconds = loop.time()
        outcome = await dispatcher.call(make_call("k", started_seconds))
        return outcome, loop.time() - started_seconds, service.runs

    outcome, elapsed_seconds, runs = run_on_virtual_clock(refused())
    assert isinstance(outcome, NotRun)
    assert outcome.retry_at_seconds is not None
    assert elapsed_seconds < 4.0
    assert not runs


def test_concurrent_claims_share_one_write():
    async def burst():
        context = make_context("d0", KvStore(), random.Random(1))
        claims = ClaimStore(context)
        made = [
            claims.claim(claims.keys("t", f"k{n}"), Claim(owner=f"o{n}", digest=""), 5.0)
            for n in range(60)
        ]
        found = await asyncio.gather(*made)
        return found, context.kv.calls

    found, calls = run_on_virtual_clock(burst())
    assert all(each.decision is ClaimDecision.RUN for each in found)
    assert calls == 1


def test_claim_is_refused_immediately_while_the_store_is_unreachable():
    async def scenario():
        store, faults = KvStore(), KvFaults(down=True)
        keeper = ClaimStore(make_context("d0", store, random.Random(1), faults))
        loop = asyncio.get_running_loop()

        async def claim(key: str) -> tuple[object, float]:
            started_seconds = loop.time()
            found = await keeper.claim(
                keeper.keys("t", key),
                Claim(owner=keeper.new_owner(), digest="d"),
                started_seconds + 2.0,
            )
            return found, loop.time() - started_seconds

        found, _ = await claim("a")
        assert isinstance(found, ClaimsUnavailable)
        found, elapsed_seconds = await claim("b")
        assert isinstance(found, ClaimsUnavailable)
        assert elapsed_seconds < 0.05
        faults.down = False
        await asyncio.sleep(1.5)
        found, _ = await claim("c")
        assert isinstance(found, ClaimFound)
        assert found.decision is ClaimDecision.RUN

    run_on_virtual_clock(scenario())


def test_concurrent_duplicate_at_another_daemon_gets_the_original_answer():
    # Guards against "may have run" while the original request is still running.
    async def scenario():
        rng, store = random.Random(1), KvStore()
        service = FakeService(rng, failure_probability=0.0)
        dispatchers = []
        for number in range(2):
            context = make_context(f"d{number}", store, rng, KvFaults())
            dispatchers.append(make_dispatcher(context, ClaimStore(context), service))
        answers = []
        for number in range(10):
            call = make_call(f"k{number}", asyncio.get_running_loop().time())
            answers += await asyncio.gather(*(dispatcher.call(call) for dispatcher in dispatchers))
        return answers, service.runs

    answers, runs = run_on_virtual_clock(scenario())
    assert [type(answer) for answer in answers] == [Completed] * 20
    assert set(runs.values()) == {1}
