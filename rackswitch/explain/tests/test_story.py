import pytest

from rackswitch.explain import build_timeline, find_cause, read_events
from rackswitch.explain.page import format_timeline
from rackswitch.explain.tests.support import LoggingDaemon
from rackswitch.telemetry import events as ev


def make_request_ended(
    request: str, outcome: str, attempts: int = 1, known: int = 4
) -> ev.RequestEnded:
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


def make_attempt_failed(
    request: str, target: str = "i-1", detail: str = "no answer"
) -> ev.AttemptFailed:
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


def make_run_ended(
    item: str, run: int, outcome: str, seconds: float, target="e1"
) -> ev.ItemRunEnded:
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


def make_job_owned(job: str, listed: int = 0) -> ev.JobOwned:
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
    return build_timeline(log, identity)


def test_identity_in_no_line_has_no_story():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, make_request_ended("r1", "200"))
    assert story_of("r2", daemon) is None


def test_served_request_has_no_cause():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, make_request_ended("r1", "200"))
    story = story_of("r1", daemon)
    assert find_cause(story) is None
    assert "nothing went wrong" in format_timeline(story, None)


def test_unanswered_attempt_is_the_cause():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, make_attempt_failed("r1", "i-7"))
    daemon.log(1.1, make_request_ended("r1", "may have run: no answer"))
    daemon.log(1.2, make_attempt_failed("r9", "i-8"))
    verdict = find_cause(story_of("r1", daemon))
    assert isinstance(verdict.line.event, ev.AttemptFailed)
    assert "i-7" in verdict.cause
    assert "i-8" not in verdict.cause


def test_cause_without_a_target_includes_the_list_and_the_lost_dependency():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, ev.DependencyLost(dependency="key-value", detail="TimeoutError"))
    daemon.log(3.5, make_request_ended("r1", "not run: no target", attempts=0, known=0))
    verdict = find_cause(story_of("r1", daemon))
    assert "0 of the route's targets" in verdict.cause
    assert "2.5 s" in verdict.cause
    daemon = LoggingDaemon("a")
    daemon.log(1.0, ev.DependencyLost(dependency="key-value", detail="TimeoutError"))
    daemon.log(2.0, ev.DependencyRegained(dependency="key-value", away_seconds=1.0))
    daemon.log(3.5, make_request_ended("r1", "not run: no target", attempts=0, known=0))
    assert "without the" not in find_cause(story_of("r1", daemon)).cause


def test_cause_of_a_refusal_includes_status_and_table_revision():
    daemon = LoggingDaemon("a")
    refusal = ev.RequestRefused(
        request="r1", path="/x", status=404, detail="no route for h/x", table_revision=6
    )
    daemon.log(1.0, refusal)
    verdict = find_cause(story_of("r1", daemon))
    assert "404" in verdict.cause and "revision 6" in verdict.cause


def test_longest_failed_run_of_an_item_is_the_cause():
    daemon = LoggingDaemon("a")
    daemon.log(0.5, make_job_owned("j1"))
    daemon.log(1.0, make_run_ended("i1", 1, "broken", 0.2, "e1"))
    daemon.log(4.0, make_run_ended("i1", 2, "silent", 2.1, "e2"))
    daemon.log(5.0, make_run_ended("i1", 3, "whole", 0.9, "e3"))
    daemon.log(5.0, make_run_ended("i2", 1, "broken", 9.0, "e4"))
    story = story_of("i1", daemon)
    assert any(isinstance(line.event, ev.JobOwned) for line in story.lines)
    verdict = find_cause(story)
    assert "run 2 at e2" in verdict.cause
    assert "> " in format_timeline(story, verdict)


def test_cause_of_an_item_at_no_engine_names_its_reason_and_the_engines():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, make_run_ended("i1", 1, "broken", 0.2, "e1"))
    wait = ev.ItemWaits(
        job="j1",
        item="i1",
        run=1,
        reason="an engine with room",
        waited_seconds=4.0,
        remaining_seconds=-1.0,
        last_target="e1",
        engines_with_room=[],
        obstacles={"does not respond": 2},
        list_age_seconds=0.1,
        table_revision=3,
    )
    daemon.log(5.0, wait)
    cause = find_cause(story_of("i1", daemon)).cause
    assert "4.0 s" in cause and "an engine with room" in cause and "does not respond (2)" in cause


def test_identity_of_a_reward_call_selects_its_item():
    daemon = LoggingDaemon("a")
    daemon.log(1.0, make_run_ended("i1", 1, "whole", 0.9))
    reward = ev.RewardCallEnded(
        job="j1", item="i1", request="s1", target="", attempts=4, failures=4, outcome="500"
    )
    daemon.log(1.5, reward)
    story = story_of("s1", daemon)
    assert story.subject.identity == "i1"
    assert "4 failures" in find_cause(story).cause


def test_cause_of_a_job_without_an_owner_includes_its_duration_and_new_owner():
    first, second = LoggingDaemon("a"), LoggingDaemon("b")
    first.log(1.0, make_job_owned("j1"))
    first.log(
        2.0, ev.JobDropped(job="j1", reason="taken over", listed=1, items=4, owner_revision=1)
    )
    second.log(5.5, make_job_owned("j1", 1))
    verdict = find_cause(story_of("j1", first, second))
    assert "3.5 s" in verdict.cause
    assert "until b" in verdict.cause


def test_crashed_owner_is_found_by_its_last_line():
    first, second = LoggingDaemon("a"), LoggingDaemon("b")
    first.log(1.0, make_job_owned("j1"))
    first.log(2.0, make_run_ended("i1", 1, "broken", 0.2))
    second.log(6.0, make_job_owned("j1"))
    verdict = find_cause(story_of("j1", first, second))
    assert "4.0 s" in verdict.cause and "owner a" in verdict.cause


def test_job_story_leaves_routine_runs_out_and_includes_target_events_once():
    first, second = LoggingDaemon("a"), LoggingDaemon("b")
    first.log(1.0, make_job_owned("j1"))
    first.log(2.0, make_run_ended("i1", 1, "whole", 0.9))
    first.log(3.0, make_run_ended("i2", 2, "broken", 0.2, "e1"))
    gone = ev.TargetGone(target="e1", still_used=False)
    first.log(2.5, gone)
    second.log(2.6, gone)
    story = story_of("j1", first, second)
    assert [type(line.event) for line in story.lines] == [
        ev.JobOwned,
        ev.TargetGone,
        ev.ItemRunEnded,
    ]


def test_job_story_includes_both_sides_of_a_hand_over():
    stopping_owner, successor = LoggingDaemon("a"), LoggingDaemon("b")
    stopping_owner.log(1.0, make_job_owned("j1"))
    successor.log(
        2.0,
        ev.JobReceived(
            job="j1",
            former_owner="a",
            outcome="not owned yet",
            owner_revision=0,
            elapsed_seconds=0.01,
        ),
    )
    stopping_owner.log(
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
    kinds = [type(line.event) for line in story_of("j1", stopping_owner, successor).lines]
    assert kinds == [ev.JobOwned, ev.JobReceived, ev.JobHandedOver]


@pytest.mark.parametrize("line", ["", "no json", "{", '{"a":1}', '{"event":"x","daemon":"d"}'])
def test_lines_without_a_known_event_are_skipped(line):
    daemon = LoggingDaemon("a")
    daemon.log(1.0, make_request_ended("r1", "200"))
    log = read_events([line, "  12.5 front-a " + daemon.lines[0]])
    assert len(log.events) == 1


def test_restart_increments_the_process_index():
    first_process, second_process = LoggingDaemon("a"), LoggingDaemon("a", started_seconds=10.0)
    first_process.log(5.0, ev.Stopped(whole=True))
    second_process.log(10.5, ev.Started(zone="z"))
    log = read_events([*first_process.lines, *second_process.lines])
    assert [line.process_index for line in log.events] == [0, 1]


def make_usage_fixed(daemons_silent: int = 0) -> ev.UsageFinalized:
    return ev.UsageFinalized(
        window=355610033,
        requests=35,
        tenants=20,
        daemons=64,
        daemons_silent=daemons_silent,
        daemons_partial=0,
        after_end_seconds=1.9,
    )


def make_usage_sent(after_end_seconds: float, outcome: str) -> ev.UsageSent:
    return ev.UsageSent(
        window=355610033,
        requests=35,
        fencing=12,
        after_end_seconds=after_end_seconds,
        in_time=after_end_seconds <= 10,
        outcome=outcome,
    )


@pytest.mark.parametrize(
    ("events", "cause"),
    [
        ([make_usage_fixed(), make_usage_sent(2.0, "taken: status 200")], None),
        ([make_usage_fixed()], "never sent it"),
        ([make_usage_fixed(), make_usage_sent(11.5, "taken: status 200")], "11.5 s after its end"),
        (
            [make_usage_fixed(3), make_usage_sent(2.0, "taken: status 200")],
            "of 67 daemons 3 did not tell",
        ),
    ],
)
def test_cause_of_a_late_or_incomplete_usage_window(events, cause):
    daemon = LoggingDaemon("d1")
    for number, event in enumerate(events):
        daemon.log(1.0 + number, event)
    verdict = find_cause(build_timeline(read_events(daemon.lines), "355610033"))
    assert (verdict is None) if cause is None else (cause in verdict.cause)


@pytest.mark.parametrize("identity", ["", "None"])
def test_empty_identity_and_none_have_no_story(identity):
    daemon = LoggingDaemon("d1")
    daemon.log(1.0, make_request_ended("r1", "200"))
    daemon.log(2.0, make_job_owned("acme\nj1"))
    log = read_events(daemon.lines)
    assert build_timeline(log, identity) is None
    assert build_timeline(log, "j1").subject.identity == "acme\nj1"


def test_cause_of_a_call_refused_by_admission_includes_its_inputs():
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
    daemon.log(1.001, make_request_ended("r1", "not run: wait too long", attempts=0))
    verdict = find_cause(story_of("r1", daemon))
    assert "a refused: wait too long" in verdict.cause
    assert "0.310 s" in verdict.cause
    assert "a word 0.02 s old" in verdict.cause


def test_names_the_rules_that_excluded_all_targets():
    """An operator must see that an evacuation refused the call, not a lost list."""
    daemon = LoggingDaemon("d0")
    daemon.log(
        1.0,
        ev.TargetsExcluded(
            request="r1", service="desk", reasons={"zone evacuated": 2, "region not allowed": 1}
        ),
    )
    outcome = "not run: no target of 'desk' is usable"
    daemon.log(1.1, make_request_ended("r1", outcome, attempts=0, known=0))
    story = build_timeline(read_events(daemon.lines), "r1")
    cause = find_cause(story).cause
    assert cause.startswith("d0 sent it to no target of desk")
    assert "zone evacuated (2), region not allowed (1)" in cause


def test_names_the_rules_that_kept_a_jobs_items_waiting():
    daemon = LoggingDaemon("d0")
    daemon.log(1.0, make_job_owned("j1"))
    reasons = {"region not allowed": 4}
    daemon.log(1.1, ev.JobExcluded(job="j1", service="engines", reasons=reasons, table_revision=7))
    story = build_timeline(read_events(daemon.lines), "j1")
    assert "no engine of engines was eligible: region not allowed (4)" in find_cause(story).cause
