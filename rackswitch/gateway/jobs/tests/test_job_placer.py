"""Jobs forwarded to another daemon are stored once and never wrongly reported as refused."""

import asyncio
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobKnown, JobNotStored
from rackswitch.gateway.jobs.job_placer import ForwardedJobReceiver, JobPlacer
from rackswitch.gateway.jobs.job_records import make_marker, pack_job
from rackswitch.gateway.jobs.known_jobs import JobOwner
from rackswitch.gateway.jobs.tests.test_job_manager import make_job_manager
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for
from rackswitch.gateway.tests.support import make_member, state_cold_rate
from rackswitch.jobs.tests.support import make_job
from rackswitch.membership import VmEntry
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.standins.kv_store import KvStore
from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.events import JobPlaced


class FixedLinks:
    """Returns a fixed reply to every call, after running `before` at the other daemon."""

    def __init__(self, reply, before=None):
        self.reply = reply
        self.before = before
        self.called: list[str] = []

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        self.called.append(peer.daemon)
        if self.before is not None:
            await self.before(message)
        return self.reply


def make_placer(kv: KvStore, links: FixedLinks) -> JobPlacer:
    """Return the placer of daemon `a`, which knows that daemon `b` owns a job."""
    job_manager = make_job_manager("a", kv)
    context = job_manager._context
    context.daemon.links = links
    context.daemon.membership.update_from_complete_list([VmEntry("b", "h", 1, "z", False)], 0.0)
    other = make_job(job_id="other")
    job_manager.known.record_created(make_marker(other), 1)
    job_manager.known.record_owner("other", JobOwner("b", 1, 0))
    return JobPlacer(context, job_manager)


def test_a_job_is_forwarded_to_the_daemon_that_owns_others():
    async def scenario():
        links = FixedLinks(pb.TakeJobReply(kept=True, owner_revision=7))
        placer = make_placer(KvStore(), links)
        assert await placer.submit(make_job()) == JobCreated(7)
        assert links.called == ["b"]
        assert placer._job_manager.known.owner("j").daemon == "b"
        assert not placer._job_manager.owned
        assert await placer.submit(make_job()) == JobKnown()

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("reply", [PeerUnreachable("silent"), pb.TakeJobReply(detail="no")])
def test_a_job_that_the_other_daemon_refuses_is_owned_here(reply):
    async def scenario():
        links = FixedLinks(reply)
        placer = make_placer(KvStore(), links)
        assert isinstance(await placer.submit(make_job()), JobCreated)
        assert "j" in placer._job_manager.owned
        # The failed daemon is in cooldown.
        await placer.submit(make_job(job_id="k"))
        assert links.called == ["b"]

    run_on_virtual_clock(scenario())


def test_a_job_stored_by_the_other_daemon_without_a_reply_is_stored_once():
    async def scenario():
        kv = KvStore()
        receiver = ForwardedJobReceiver(
            make_job_manager("b", kv)._context, make_job_manager("b", kv)
        )
        links = FixedLinks(PeerUnreachable("its answer was lost"), receiver.receive)
        placer = make_placer(kv, links)
        assert await placer.submit(make_job()) == JobKnown()
        assert not placer._job_manager.owned

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize(
    ("reply", "unknown"),
    [
        (PeerUnreachable("silent"), True),
        (pb.TakeJobReply(detail="no answer", effect_unknown=True), True),
        (pb.TakeJobReply(detail="stopping"), False),
    ],
)
def test_a_job_that_may_be_stored_elsewhere_is_not_reported_as_refused(reply, unknown):
    async def scenario():
        placer = make_placer(KvStore(), FixedLinks(reply))
        placer._job_manager._session.lease.record_loss()
        placer._context.daemon.kv.faults.down = True
        outcome = await placer.submit(make_job())
        assert isinstance(outcome, JobNotStored)
        assert outcome.effect_unknown is unknown

    run_on_virtual_clock(scenario())


def test_while_the_service_is_unreachable_jobs_are_not_forwarded():
    # Guards against submissions that wait for a dead daemon in an outage and then report an
    # unknown outcome.
    async def scenario():
        links = FixedLinks(PeerUnreachable("silent"))
        placer = make_placer(KvStore(), links)
        placer._context.store_reachability.record_failure(
            placer._context.now_seconds(), "no answer"
        )
        assert isinstance(await placer.submit(make_job()), JobCreated)
        assert links.called == []

    run_on_virtual_clock(scenario())


def test_a_job_whose_submitter_gave_up_is_still_run():
    # Guards against a job that is stored but does not run because the forwarding call was
    # cancelled.
    async def scenario():
        job_manager = make_job_manager("b", KvStore())
        job_manager._context.daemon.kv.faults.delay_seconds = 0.2
        receiver = ForwardedJobReceiver(job_manager._context, job_manager)
        call = asyncio.create_task(receiver.receive(pb.TakeJobRequest(job=pack_job(make_job()))))
        await asyncio.sleep(0.05)
        call.cancel()
        await asyncio.sleep(1.0)
        assert "j" in job_manager.owned

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize(("handed_over", "called"), [(True, ["c"]), (False, ["b"])])
def test_while_a_daemon_stops_a_job_is_forwarded_to_a_restarted_one(handed_over, called):
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
        context.daemon.membership.update_from_complete_list(entries, 0.0)
        await placer.submit(make_job())
        assert links.called == called

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize(
    ("link_mbps", "is_overloaded", "called"),
    [(30.0, False, ["b"]), (60.0, False, []), (60.0, True, ["b"]), (200.0, True, [])],
)
def test_a_small_or_overloaded_daemon_forwards_to_a_larger_one(
    monkeypatch, link_mbps, is_overloaded, called
):
    """Guards against a job kept on a narrow link, and a changed choice among equal links."""

    async def scenario():
        links = FixedLinks(pb.TakeJobReply(kept=True, owner_revision=7))
        job_manager = make_job_manager("a", KvStore())
        context = job_manager._context
        events = []
        monkeypatch.setattr(DecisionLog, "write", lambda log, event: events.append(event))
        context.daemon.links = links
        context.daemon.membership.update_from_complete_list([VmEntry("b", "h", 1, "z", False)], 0.0)
        context.settings = replace(context.settings, link_mbps=link_mbps)
        context.member_entries["b"] = make_member(processor_share=2.0, link_mbps=200.0)
        state_cold_rate(context)
        if is_overloaded:
            for number in range(20):
                context.loop_delays.record(number, number + 1.0)
        await JobPlacer(context, job_manager).submit(make_job(items=40))
        assert links.called == called
        placed = [event for event in events if isinstance(event, JobPlaced)]
        assert [(event.limited_by, event.max_items, event.overloaded_here) for event in placed] == [
            ("link", 833, is_overloaded) for _ in called
        ]

    run_on_virtual_clock(scenario())


def test_an_invalid_or_late_forwarded_job_is_refused():
    async def scenario():
        job_manager = make_job_manager("b", KvStore())
        receiver = ForwardedJobReceiver(job_manager._context, job_manager)
        reply = await receiver.receive(pb.TakeJobRequest(job=b"\xff\x00"))
        assert not reply.kept
        assert "`job`" in reply.detail
        job_manager._context.daemon.stopping = True
        assert not (await receiver.receive(pb.TakeJobRequest(job=pack_job(make_job())))).kept

    run_on_virtual_clock(scenario())


def test_jobs_submitted_anywhere_are_owned_by_one_daemon_and_read_everywhere():
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
            check_complete(await fleet.read_all(name, f"k{number}"), [2, 3], f"k{number}")

    run_scenario(scenario, daemons=3)
