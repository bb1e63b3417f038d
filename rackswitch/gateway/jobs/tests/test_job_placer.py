"""Jobs that are passed to another daemon: kept once, and never called refused wrongly."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobKnown, JobNotStored
from rackswitch.gateway.jobs.job_placer import AdoptedJobs, JobPlacer
from rackswitch.gateway.jobs.job_records import make_marker, pack_job
from rackswitch.gateway.jobs.known_jobs import JobOwner
from rackswitch.gateway.jobs.tests.test_job_manager import make_job_manager
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.tests.path import check_whole, play, wait_for
from rackswitch.gateway.tests.support import make_member
from rackswitch.jobs.tests.support import make_job
from rackswitch.membership import VmEntry
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.standins.kv_store import KvStore


class FixedLinks:
    """Brings one reply, whatever is asked; `before` runs at the other daemon first."""

    def __init__(self, reply, before=None):
        self.reply = reply
        self.before = before
        self.asked: list[str] = []

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        self.asked.append(peer.daemon)
        if self.before is not None:
            await self.before(message)
        return self.reply


def make_placer(kv: KvStore, links: FixedLinks) -> JobPlacer:
    """Return the placer of `a`, which knows that `b` owns a job."""
    job_manager = make_job_manager("a", kv)
    context = job_manager._context
    context.daemon.links = links
    context.daemon.membership.learn_listed([VmEntry("b", "h", 1, "z", False)], 0.0)
    other = make_job(job_id="other")
    job_manager.known.created(make_marker(other), 1)
    job_manager.known.record_owner("other", JobOwner("b", 1, 0))
    return JobPlacer(context, job_manager)


def test_a_job_is_owned_by_the_daemon_that_owns_others():
    async def scenario():
        links = FixedLinks(pb.TakeJobReply(kept=True, owner_revision=7))
        placer = make_placer(KvStore(), links)
        assert await placer.submit(make_job()) == JobCreated(7)
        assert links.asked == ["b"]
        assert placer._job_manager.known.owner("j").daemon == "b"
        assert not placer._job_manager.owned
        assert await placer.submit(make_job()) == JobKnown()

    run_virtual(scenario())


@pytest.mark.parametrize("reply", [PeerUnreachable("silent"), pb.TakeJobReply(detail="no")])
def test_a_job_that_the_other_daemon_does_not_take_is_owned_here(reply):
    async def scenario():
        links = FixedLinks(reply)
        placer = make_placer(KvStore(), links)
        assert isinstance(await placer.submit(make_job()), JobCreated)
        assert "j" in placer._job_manager.owned
        # It is left alone for a while.
        await placer.submit(make_job(job_id="k"))
        assert links.asked == ["b"]

    run_virtual(scenario())


def test_a_job_that_the_other_daemon_kept_without_a_word_is_kept_once():
    async def scenario():
        kv = KvStore()
        taken = AdoptedJobs(make_job_manager("b", kv)._context, make_job_manager("b", kv))
        links = FixedLinks(PeerUnreachable("its answer was lost"), taken.take)
        placer = make_placer(kv, links)
        assert await placer.submit(make_job()) == JobKnown()
        assert not placer._job_manager.owned

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("reply", "unknown"),
    [
        (PeerUnreachable("silent"), True),
        (pb.TakeJobReply(detail="no answer", effect_unknown=True), True),
        (pb.TakeJobReply(detail="stopping"), False),
    ],
)
def test_a_job_that_may_be_kept_elsewhere_is_not_called_refused(reply, unknown):
    async def scenario():
        placer = make_placer(KvStore(), FixedLinks(reply))
        placer._job_manager._session.lease.lost()
        placer._context.daemon.kv.faults.down = True
        outcome = await placer.submit(make_job())
        assert isinstance(outcome, JobNotStored)
        assert outcome.effect_unknown is unknown

    run_virtual(scenario())


def test_while_the_service_is_away_no_other_daemon_is_asked():
    # Found on the association's trouble-3 (seed 2): each try in an outage waited for a daemon that
    # was gone, and was then answered as if the job might have been kept.
    async def scenario():
        links = FixedLinks(PeerUnreachable("silent"))
        placer = make_placer(KvStore(), links)
        placer._context.contact.failed(placer._context.now_seconds(), "no answer")
        assert isinstance(await placer.submit(make_job()), JobCreated)
        assert links.asked == []

    run_virtual(scenario())


def test_a_job_whose_submitter_gave_up_is_worked_on_all_the_same():
    # Found on the association's rolling day (trouble-2, seed 1): the service was slow, the asking
    # daemon gave up, and the job lay for 3 s with an owner that did not know that it was its own.
    async def scenario():
        job_manager = make_job_manager("b", KvStore())
        job_manager._context.daemon.kv.faults.delay_seconds = 0.2
        taken = AdoptedJobs(job_manager._context, job_manager)
        asked = asyncio.create_task(taken.take(pb.TakeJobRequest(job=pack_job(make_job()))))
        await asyncio.sleep(0.05)
        asked.cancel()
        await asyncio.sleep(1.0)
        assert "j" in job_manager.owned

    run_virtual(scenario())


@pytest.mark.parametrize(("handed_over", "asked"), [(True, ["c"]), (False, ["b"])])
def test_while_a_daemon_leaves_a_job_goes_to_one_that_was_restarted(handed_over, asked):
    async def scenario():
        links = FixedLinks(pb.TakeJobReply(kept=True, owner_revision=7))
        placer = make_placer(KvStore(), links)
        context = placer._context
        context.policy = PolicySettings(jobs_handed_over=handed_over)
        now_unix_seconds = context.unix_seconds()
        context.process_started_unix_seconds = now_unix_seconds - 100.0
        context.member_entries["b"] = make_member(now_unix_seconds - 100.0)
        context.member_entries["c"] = make_member(now_unix_seconds - 5.0)
        entries = [
            VmEntry("b", "h", 1, "z", False),
            VmEntry("c", "h", 1, "z", False),
            VmEntry("d", "h", 1, "z", True),
        ]
        context.daemon.membership.learn_listed(entries, 0.0)
        await placer.submit(make_job())
        assert links.asked == asked

    run_virtual(scenario())


def test_what_is_no_job_is_not_taken():
    async def scenario():
        job_manager = make_job_manager("b", KvStore())
        taken = AdoptedJobs(job_manager._context, job_manager)
        reply = await taken.take(pb.TakeJobRequest(job=b"\xff\x00"))
        assert not reply.kept
        assert "`job`" in reply.detail
        job_manager._context.daemon.stopping = True
        assert not (await taken.take(pb.TakeJobRequest(job=pack_job(make_job())))).kept

    run_virtual(scenario())


def test_jobs_that_come_anywhere_gather_at_one_daemon_and_are_read_everywhere():
    async def scenario(fleet):
        gateways = fleet.gateways
        assert await fleet.submit("d0", "j0", [3000]) == 202
        await wait_for(lambda: all(g.jobs.known.owner("j0") for g in gateways.values()))
        for number, name in enumerate(("d1", "d2", "d1")):
            assert await fleet.submit(name, f"k{number}", [2, 3]) == 202
        assert set(gateways["d0"].jobs.owned) >= {"j0"}
        assert not gateways["d1"].jobs.owned
        assert not gateways["d2"].jobs.owned
        for number, name in enumerate(("d2", "d1", "d0")):
            check_whole(await fleet.read_all(name, f"k{number}"), [2, 3], f"k{number}")

    play(scenario, daemons=3)
