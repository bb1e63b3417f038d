import pytest

from rackswitch.explain import judge_story, read_events, tell_story
from rackswitch.explain.page import format_story
from rackswitch.explain.tests.support import LoggingDaemon
from rackswitch.telemetry import events as ev


def ended(request: str, outcome: str, attempts: int = 1, known: int = 4) -> ev.RequestEnded:
    return ev.RequestEnded(
        request=request,
        route="lookup",
        caller_class=2,
        table_revision=3,
        list_age_seconds=0.4,
        targets_known=known,
        target="",
        attempts=attempts,
        elapsed_seconds=0.2,
        outcome=outcome,
    )


def failed(request: str, target: str = "i-1", detail: str = "no answer") -> ev.AttemptFailed:
    return ev.AttemptFailed(
        request=request,
        service="desk",
        target=target,
        attempt=1,
        may_have_run=True,
        detail=detail,
        attempt_seconds=0.15,
        list_age_seconds=0.3,
    )


def run_ended(item: str, run: int, outcome: str, seconds: float, target="e1") -> ev.ItemRunEnded:
    return ev.ItemRunEnded(
        job="j1",
        item=item,
        run=run,
        target=target,
        first_piece=1,
        pieces=5,
        versions=[1],
        oldest_version=1,
        run_seconds=seconds,
        list_age_seconds=0.1,
        outcome=outcome,
        detail="reset" if outcome == "broken" else "",
    )


def owned(job: str, listed: int = 0) -> ev.JobOwned:
    return ev.JobOwned(
        job=job,
        step=1,
        items=4,
        listed=listed,
        age_seconds=0.0,
        owner_revision=1,
        oldest_version=1,
    )


def story_of(identity: str, *daemons: LoggingDaemon):
    log = read_events(line for daemon in daemons for line in daemon.lines)
    return tell_story(log, identity)


def test_an_identity_that_no_line_names_has_no_story():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, ended("r1", "200"))
    assert story_of("r2", daemon) is None


def test_a_served_request_has_no_cause():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, ended("r1", "200"))
    story = story_of("r1", daemon)
    assert judge_story(story) is None
    assert "nothing went wrong" in format_story(story, None)


def test_the_attempt_that_a_target_did_not_answer_decides():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, failed("r1", "i-7"))
    daemon.log(1.1, ended("r1", "may have run: no answer"))
    daemon.log(1.2, failed("r9", "i-8"))
    verdict = judge_story(story_of("r1", daemon))
    assert isinstance(verdict.line.event, ev.AttemptFailed)
    assert "i-7" in verdict.cause
    assert "i-8" not in verdict.cause


def test_without_a_target_the_list_and_the_lost_service_are_named():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, ev.DependencyLost(dependency="key-value", detail="TimeoutError"))
    daemon.log(3.5, ended("r1", "not run: no target", attempts=0, known=0))
    verdict = judge_story(story_of("r1", daemon))
    assert "0 of the route's targets" in verdict.cause
    assert "2.5 s" in verdict.cause
    daemon = LoggingDaemon("a")
    daemon.log(1.0, ev.DependencyLost(dependency="key-value", detail="TimeoutError"))
    daemon.log(2.0, ev.DependencyRegained(dependency="key-value", away_seconds=1.0))
    daemon.log(3.5, ended("r1", "not run: no target", attempts=0, known=0))
    assert "without the" not in judge_story(story_of("r1", daemon)).cause


def test_a_refusal_names_status_reason_and_table():
    daemon = LoggingDaemon("a")
    refusal = ev.RequestRefused(
        request="r1", path="/x", status=404, detail="no route for h/x", table_revision=6
    )
    daemon.log(1.0, refusal)
    verdict = judge_story(story_of("r1", daemon))
    assert "404" in verdict.cause and "revision 6" in verdict.cause


def test_the_run_that_cost_an_item_most_is_named_with_its_jobs_owner():
    daemon = LoggingDaemon("a")
    daemon.log(0.5, owned("j1"))
    daemon.log(1.0, run_ended("i1", 1, "broken", 0.2, "e1"))
    daemon.log(4.0, run_ended("i1", 2, "silent", 2.1, "e2"))
    daemon.log(5.0, run_ended("i1", 3, "whole", 0.9, "e3"))
    daemon.log(5.0, run_ended("i2", 1, "broken", 9.0, "e4"))
    story = story_of("i1", daemon)
    assert any(isinstance(line.event, ev.JobOwned) for line in story.lines)
    verdict = judge_story(story)
    assert "run 2 at e2" in verdict.cause
    assert "> " in format_story(story, verdict)


def test_a_reward_call_leads_to_its_item():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, run_ended("i1", 1, "whole", 0.9))
    reward = ev.RewardCallEnded(
        job="j1", item="i1", request="s1", target="", attempts=4, failures=4, outcome="500"
    )
    daemon.log(1.5, reward)
    story = story_of("s1", daemon)
    assert story.subject.identity == "i1"
    assert "4 failures" in judge_story(story).cause


def test_a_job_that_nobody_worked_on_names_the_gap_and_both_owners():
    first, second = LoggingDaemon("a"), LoggingDaemon("b")
    first.log(1.0, owned("j1"))
    first.log(
        2.0, ev.JobDropped(job="j1", reason="taken over", listed=1, items=4, owner_revision=1)
    )
    second.log(5.5, owned("j1", 1))
    verdict = judge_story(story_of("j1", first, second))
    assert "3.5 s" in verdict.cause
    assert "until b" in verdict.cause


def test_an_owner_that_died_without_a_word_is_found_by_its_last_line():
    first, second = LoggingDaemon("a"), LoggingDaemon("b")
    first.log(1.0, owned("j1"))
    first.log(2.0, run_ended("i1", 1, "broken", 0.2))
    second.log(6.0, owned("j1"))
    verdict = judge_story(story_of("j1", first, second))
    assert "4.0 s" in verdict.cause and "owner a" in verdict.cause


def test_a_jobs_story_leaves_good_runs_out_and_lists_its_targets_loads_once():
    first, second = LoggingDaemon("a"), LoggingDaemon("b")
    first.log(1.0, owned("j1"))
    first.log(2.0, run_ended("i1", 1, "whole", 0.9))
    first.log(3.0, run_ended("i2", 2, "broken", 0.2, "e1"))
    gone = ev.TargetGone(target="e1", still_used=False)
    first.log(2.5, gone)
    second.log(2.6, gone)
    story = story_of("j1", first, second)
    assert [type(line.event) for line in story.lines] == [
        ev.JobOwned,
        ev.TargetGone,
        ev.ItemRunEnded,
    ]


def test_a_jobs_story_tells_of_its_hand_over_on_both_sides():
    giver, taker = LoggingDaemon("a"), LoggingDaemon("b")
    giver.log(1.0, owned("j1"))
    taker.log(
        2.0,
        ev.JobReceived(
            job="j1",
            former_owner="a",
            outcome="not owned yet",
            owner_revision=0,
            elapsed_seconds=0.01,
        ),
    )
    giver.log(
        2.1,
        ev.JobHandedOver(
            job="j1",
            successor="b",
            outcome="not owned yet",
            owner_revision=0,
            elapsed_seconds=0.02,
            items_kept=3,
        ),
    )
    kinds = [type(line.event) for line in story_of("j1", giver, taker).lines]
    assert kinds == [ev.JobOwned, ev.JobReceived, ev.JobHandedOver]


@pytest.mark.parametrize("line", ["", "no json", "{", '{"a":1}', '{"event":"x","daemon":"d"}'])
def test_lines_that_are_no_events_are_passed_over(line):
    daemon = LoggingDaemon("a")
    daemon.log(1.0, ended("r1", "200"))
    log = read_events([line, "  12.5 front-a " + daemon.lines[0]])
    assert len(log.events) == 1


def test_a_restart_begins_another_life_of_the_same_daemon():
    before, after = LoggingDaemon("a"), LoggingDaemon("a", started_seconds=10.0)
    before.log(5.0, ev.Stopped(whole=True))
    after.log(10.5, ev.Started(zone="z"))
    log = read_events([*before.lines, *after.lines])
    assert [line.life for line in log.events] == [0, 1]


def usage_fixed(silent: int = 0) -> ev.UsageFixed:
    return ev.UsageFixed(
        window=355610033,
        requests=35,
        tenants=20,
        daemons=64,
        daemons_silent=silent,
        daemons_partial=0,
        after_end_seconds=1.9,
    )


def usage_sent(after: float, outcome: str) -> ev.UsageSent:
    return ev.UsageSent(
        window=355610033,
        requests=35,
        fencing=12,
        after_end_seconds=after,
        in_time=after <= 10,
        outcome=outcome,
    )


@pytest.mark.parametrize(
    ("events", "cause"),
    [
        ([usage_fixed(), usage_sent(2.0, "taken: status 200")], None),
        ([usage_fixed()], "never sent it"),
        ([usage_fixed(), usage_sent(11.5, "taken: status 200")], "11.5 s after its end"),
        ([usage_fixed(3), usage_sent(2.0, "taken: status 200")], "of 67 daemons 3 did not tell"),
    ],
)
def test_what_became_of_a_window_of_usage(events, cause):
    daemon = LoggingDaemon("d1")
    for number, event in enumerate(events):
        daemon.log(1.0 + number, event)
    verdict = judge_story(tell_story(read_events(daemon.lines), "355610033"))
    assert (verdict is None) if cause is None else (cause in verdict.cause)


@pytest.mark.parametrize("identity", ["", "None"])
def test_what_no_line_names_has_no_story(identity):
    daemon = LoggingDaemon("d1")
    daemon.log(1.0, ended("r1", "200"))
    daemon.log(2.0, owned("acme\nj1"))
    log = read_events(daemon.lines)
    assert tell_story(log, identity) is None
    assert tell_story(log, "j1").subject.identity == "acme\nj1"


def test_a_call_refused_for_want_of_room_names_what_decided():
    daemon = LoggingDaemon("a")
    decided = ev.CallDecided(
        request="r1",
        service="desk",
        route="lookup",
        tenant="t",
        caller_class=2,
        outcome="refused: wait too long",
        expected_wait_seconds=0.31,
        waited_seconds=0.0,
        left_seconds=0.8,
        waiting=4,
        in_flight=3,
        limit=3.0,
        free_slots=0.0,
        word_age_seconds=0.02,
        come_back_seconds=0.2,
    )
    daemon.log(1.0, decided)
    daemon.log(1.001, ended("r1", "not run: wait too long", attempts=0))
    verdict = judge_story(story_of("r1", daemon))
    assert "a refused: wait too long" in verdict.cause
    assert "0.310 s" in verdict.cause
    assert "a word 0.02 s old" in verdict.cause
