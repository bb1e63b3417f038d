"""Guards against interrupted samples that resume from a part that is too old."""

import asyncio
import random

import pytest

from rackswitch.clients.engine import StreamFailed
from rackswitch.daemon.sample_runner import SampleRunner
from rackswitch.daemon.target_choice import TargetChooser
from rackswitch.daemon.tests.support import make_context, run_on_virtual_clock
from rackswitch.requests import StreamChunk
from rackswitch.routing import Target
from rackswitch.samples import Sample, SampleOrder
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import TargetRow

ROW = TargetRow(name="e0", url="u", zone="z", serves="m")


class InterruptedEngine:
    """Interrupts every stream but the last after three tokens."""

    def __init__(self, versions):
        self.versions = list(versions)
        self.resumed_with = []

    async def stream(self, url, request):
        version = self.versions.pop(0)
        self.resumed_with.append(len(request.resume_token_ids))
        for number in range(1, 4):
            await asyncio.sleep(0.01)
            is_last = not self.versions and number == 3
            yield StreamChunk(
                request.request_id,
                (number,),
                f" {number}",
                number,
                version,
                "stop" if is_last else None,
            )
        if self.versions:
            yield StreamFailed(True, "broke")


class SingleEngineTargets:
    def __init__(self, engine):
        self.engine = engine
        self.target = Target("e0", "u", "z")

    def allowed(self, choice):
        return [(ROW, self.target)]

    def client(self, protocol):
        return self.engine


def make_sample(versions, policy_version, bound):
    async def run():
        context = make_context("d0", KvStore(), random.Random(1))
        engine = InterruptedEngine(versions)
        targets = SingleEngineTargets(engine)
        runner = SampleRunner(context, targets, TargetChooser(context, targets))
        order = SampleOrder(
            trainer="t",
            model="m",
            step=1,
            index=0,
            group=0,
            attempt=1,
            prompt="p",
            seed=1,
            max_tokens=10,
            policy_version=policy_version,
            staleness_bound_versions=bound,
        )
        return await runner.run(order), engine.resumed_with

    return run_on_virtual_clock(run())


def test_resumes_a_fresh_part_and_labels_both_spans():
    sample, resumed_with = make_sample([4, 5], policy_version=4, bound=2)
    assert resumed_with == [0, 3]
    assert sample.label.spans == ((4, 3), (5, 3))


@pytest.mark.parametrize("first_version", [2, None])
def test_restarts_after_an_old_or_unlabelled_part(first_version):
    sample, resumed_with = make_sample([first_version, 5], policy_version=4, bound=2)
    assert isinstance(sample, Sample)
    assert sample.label.spans == ((5, 3),)
    assert resumed_with == [0, 0]
