"""A request that may not be repeated runs at most once, and "not run" is true."""

import asyncio
import dataclasses
import random
from collections import Counter

import pytest

from rackswitch.clients.plain_service import PlainAnswer, PlainFailed
from rackswitch.daemon.claim_keeper import ClaimFound, ClaimKeeper, ClaimsUnavailable
from rackswitch.daemon.service_calls import ServiceCall, ServiceFront
from rackswitch.daemon.target_choice import TargetChooser
from rackswitch.daemon.tests.support import make_context, run_virtual
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
    """Counts runs by key; sometimes cannot be reached, sometimes loses its answer."""

    def __init__(self, rng: random.Random, trouble: float = 0.15):
        self.runs: Counter[str] = Counter()
        self._rng = rng
        self._trouble = trouble

    async def call(self, url, request):
        await asyncio.sleep(self._rng.random() * 0.05)
        if self._rng.random() < self._trouble:
            return PlainFailed(False, "cannot connect")
        self.runs[request.idempotency_key] += 1
        await asyncio.sleep(self._rng.random() * 0.5)
        if self._rng.random() < self._trouble:
            return PlainFailed(True, "no answer")
        return PlainAnswer(200, request.idempotency_key.encode(), "text/plain")


class FakeTargets:
    def __init__(self):
        self._targets = [(row, Target(row.name, row.url, row.zone)) for row in ROWS]

    def allowed(self, choice):
        return self._targets


class ForgetfulClaims(ClaimKeeper):
    """Reads first and writes after, without a condition."""

    async def claim(self, keys, claim, give_up_seconds):
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


def make_front(context, claims: ClaimKeeper, service: FakeService) -> ServiceFront:
    chooser = TargetChooser(context, FakeTargets())
    return ServiceFront(context, chooser, claims, service)


async def lodge(seed: int, claims_kind: type[ClaimKeeper]) -> tuple[list[str], Counter[str]]:
    """Send every key to two daemons, at once or after a refusal, under faults and deaths."""
    rng = random.Random(seed)
    store = KvStore()
    faults = KvFaults(lost_request=0.08, lost_answer=0.12, late_effect=0.06, refused=0.04)
    service = FakeService(rng)
    wrong: list[str] = []
    kinds: Counter[str] = Counter()

    def start_daemon(number: int) -> ServiceFront:
        context = make_context(f"d{number}", store, rng, faults)
        return make_front(context, claims_kind(context), service)

    fronts = [start_daemon(number) for number in range(DAEMONS)]
    running: dict[ServiceFront, set[asyncio.Task]] = {}

    async def send(key: str) -> Outcome | None:
        front = rng.choice(fronts)
        call = make_call(key, asyncio.get_running_loop().time())
        work = asyncio.create_task(front.call(call))
        running.setdefault(front, set()).add(work)
        if front in fronts and rng.random() < 0.1:
            # The daemon dies somewhere in the middle; its replacement knows nothing.
            await asyncio.sleep(rng.random() * 0.6)
            for task in running[front]:
                task.cancel()
            await front._context.cancel_all()
            if front in fronts:
                fronts[fronts.index(front)] = start_daemon(rng.randrange(1000))
        try:
            return await work
        except asyncio.CancelledError:
            return None

    async def client(key: str) -> None:
        await asyncio.sleep(rng.random() * 20)
        answers: list[Outcome | None] = []
        if rng.random() < 0.4:
            answers += await asyncio.gather(send(key), send(key))
        for _ in range(3):
            if any(isinstance(answer, Completed) for answer in answers):
                break
            answers.append(await send(key))
            await asyncio.sleep(1.0)
        kinds.update(type(answer).__name__ for answer in answers)
        if answers and all(isinstance(answer, NotRun) for answer in answers) and service.runs[key]:
            wrong.append(f"{key}: every answer says not run, but it ran")
        for answer in answers:
            if isinstance(answer, Completed) and answer.body != key.encode():
                wrong.append(f"{key}: the answer of another request")

    async def outages() -> None:
        for _ in range(3):
            await asyncio.sleep(rng.random() * 8)
            faults.down = True
            await asyncio.sleep(rng.random() * 4)
            faults.down = False

    await asyncio.gather(outages(), *(client(f"k{number}") for number in range(KEYS)))
    await asyncio.sleep(15)
    wrong += [f"{key} ran {count} times" for key, count in service.runs.items() if count > 1]
    return wrong, kinds


@pytest.mark.parametrize("seed", range(30))
def test_at_most_once_and_true_refusals(seed):
    wrong, kinds = run_virtual(lodge(seed, ClaimKeeper))
    assert wrong == []
    assert kinds["Completed"] > 0


def test_without_the_condition_requests_run_twice():
    assert any(run_virtual(lodge(seed, ForgetfulClaims))[0] for seed in range(6))


def test_duplicate_gets_the_first_answer():
    async def twice():
        rng = random.Random(3)
        store = KvStore()
        service = FakeService(random.Random(2), trouble=0.0)
        outcomes = []
        for number in range(2):
            context = make_context(f"d{number}", store, rng)
            front = make_front(context, ClaimKeeper(context), service)
            outcomes.append(await front.call(make_call("k", 0.0)))
            await asyncio.sleep(1)
        return outcomes, service.runs["k"]

    (first, second), runs = run_virtual(twice())
    assert runs == 1
    assert isinstance(first, Completed)
    assert second == first


def test_key_used_for_another_request_is_refused():
    async def reuse():
        context = make_context("d0", KvStore(), random.Random(1))
        front = make_front(
            context, ClaimKeeper(context), FakeService(random.Random(2), trouble=0.0)
        )
        call = make_call("k", 0.0)
        await front.call(call)
        await asyncio.sleep(1)
        other = dataclasses.replace(make_call("k", 0.0), body=b"another")
        return await front.call(other)

    outcome = run_virtual(reuse())
    assert isinstance(outcome, NotRun)
    assert "another request" in outcome.detail


def test_outage_refuses_truthfully_and_at_once():
    async def refused():
        service = FakeService(random.Random(1))
        context = make_context("d0", KvStore(), random.Random(1), KvFaults(down=True))
        front = make_front(context, ClaimKeeper(context), service)
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await front.call(make_call("k", began))
        return outcome, loop.time() - began, service.runs

    outcome, elapsed_seconds, runs = run_virtual(refused())
    assert isinstance(outcome, NotRun)
    assert outcome.retry_at_seconds is not None
    assert elapsed_seconds < 4.0
    assert not runs


def test_claims_that_arrive_together_share_writes():
    async def burst():
        context = make_context("d0", KvStore(), random.Random(1))
        claims = ClaimKeeper(context)
        made = [
            claims.claim(claims.keys("t", f"k{n}"), Claim(owner=f"o{n}", digest=""), 5.0)
            for n in range(60)
        ]
        found = await asyncio.gather(*made)
        return found, context.kv.calls

    found, calls = run_virtual(burst())
    assert all(each.decision is ClaimDecision.RUN for each in found)
    assert calls == 1


def test_while_the_service_is_known_to_be_away_a_claim_is_refused_at_once():
    # Found by trial: with the service silent such calls were refused after 2.1 to 4.0 s.
    async def scenario():
        store, faults = KvStore(), KvFaults(down=True)
        keeper = ClaimKeeper(make_context("d0", store, random.Random(1), faults))
        loop = asyncio.get_running_loop()

        async def claim(key: str) -> tuple[object, float]:
            began_seconds = loop.time()
            found = await keeper.claim(
                keeper.keys("t", key),
                Claim(owner=keeper.new_owner(), digest="d"),
                began_seconds + 2.0,
            )
            return found, loop.time() - began_seconds

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

    run_virtual(scenario())


def test_a_second_copy_under_way_at_another_daemon_gets_the_first_ones_answer():
    # Found by trial: it got "may have run" although the answer came 10 ms later.
    async def scenario():
        rng, store = random.Random(1), KvStore()
        service = FakeService(rng, trouble=0.0)
        fronts = []
        for number in range(2):
            context = make_context(f"d{number}", store, rng, KvFaults())
            fronts.append(make_front(context, ClaimKeeper(context), service))
        answers = []
        for number in range(10):
            call = make_call(f"k{number}", asyncio.get_running_loop().time())
            answers += await asyncio.gather(*(front.call(call) for front in fronts))
        return answers, service.runs

    answers, runs = run_virtual(scenario())
    assert [type(answer) for answer in answers] == [Completed] * 20
    assert set(runs.values()) == {1}
