from rackswitch.telemetry import Telemetry
from rackswitch.telemetry.events import (
    AdmissionState,
    CallDecided,
    ColdTargetHeld,
    ColdTargetSent,
    DependencyLost,
    DependencyRegained,
    EstimateLogged,
    EvacuationEnded,
    LoopDelayMeasured,
    RequestRefused,
    ResultsAppended,
    RewardCallEnded,
    TableInForce,
    TargetCold,
    TargetsExcluded,
    TargetWarm,
    ZoneEvacuated,
)
from rackswitch.telemetry.meters import MAX_LABEL_VALUES, OTHER_LABEL_VALUE, short_outcome
from rackswitch.telemetry.tests.test_journal import make_request_ended


def metrics_after(*events) -> str:
    telemetry = Telemetry("d")
    for event in events:
        telemetry.events.count(event)
    try:
        return telemetry.exposition().decode()
    finally:
        telemetry.close()


def test_requests_are_recorded_by_route_class_and_outcome():
    text = metrics_after(make_request_ended(1), make_request_ended(2, "not run: no target"))
    assert 'rackswitch_requests_total{caller_class="2",daemon="d",outcome="200"' in text
    assert 'outcome="not run"' in text
    assert (
        'rackswitch_request_seconds_count{caller_class="2",daemon="d",tenant="lookup"} 2.0' in text
    )


def test_dependency_gauge_follows_loss_and_recovery():
    lost = DependencyLost(dependency="key-value", detail="x")
    regained = DependencyRegained(dependency="key-value", away_seconds=1.0)
    name = 'rackswitch_dependency_up{daemon="d",dependency="key-value"}'
    assert f"{name} 0" in metrics_after(lost)
    assert f"{name} 1" in metrics_after(lost, regained)


def test_only_stored_results_are_counted():
    def make_results_appended(outcome: str) -> ResultsAppended:
        return ResultsAppended(
            job="j", position=0, items=["a", "b"], owner_revision=1, outcome=outcome
        )

    text = metrics_after(make_results_appended("Appended"), make_results_appended("AppendConflict"))
    assert 'rackswitch_positions_total{daemon="d"} 2.0' in text


def test_table_revision_gauge_shows_the_current_revision():
    text = metrics_after(TableInForce(revision=9, revision_before=8))
    assert 'rackswitch_table_revision{daemon="d"} 9.0' in text


def test_loop_delay_gauge_shows_the_latest_median():
    event = LoopDelayMeasured(median_seconds=0.05, max_seconds=0.4, is_overloaded=True)
    assert 'rackswitch_loop_delay_seconds{daemon="d"} 0.05' in metrics_after(event)


def test_estimate_of_a_chosen_target_is_exposed():
    def make_reward_call_ended(target: str, place: EstimateLogged | None) -> RewardCallEnded:
        return RewardCallEnded(
            job="j",
            item="i",
            request="r",
            target=target,
            attempts=1,
            failures=0,
            outcome="200",
            place=place,
        )

    place = EstimateLogged(
        slots=6, running=6.0, waiting=2.0, pace=1.5, wait_seconds=0.25, word_age_seconds=0.5
    )
    text = metrics_after(
        make_reward_call_ended("told", place), make_reward_call_ended("tells none", None)
    )
    assert 'rackswitch_believed_wait_seconds{daemon="d",target="told"} 0.25' in text
    assert 'rackswitch_word_age_seconds{daemon="d",target="told"} 0.5' in text
    assert "tells none" not in text


def test_label_values_beyond_the_limit_are_recorded_as_other():
    refusals = [
        RequestRefused(request="r", path="/", status=number, detail="", table_revision=1)
        for number in range(2 * MAX_LABEL_VALUES)
    ]
    text = metrics_after(*refusals)
    lines = [line for line in text.splitlines() if line.startswith("rackswitch_refusals_total{")]
    assert len(lines) == MAX_LABEL_VALUES + 1
    assert (
        f'rackswitch_refusals_total{{daemon="d",status="{OTHER_LABEL_VALUE}"}} {MAX_LABEL_VALUES}'
        in text
    )


def test_short_outcome_drops_the_detail():
    assert short_outcome("not run: no target of 's'") == "not run"
    assert short_outcome("200, resumed 2 times") == "200"


def make_call_decided(outcome: str) -> CallDecided:
    return CallDecided(
        request="r",
        service="desk",
        route="checks",
        tenant="t",
        caller_class=1,
        outcome=outcome,
        expected_wait_seconds=0.1,
        waited_seconds=0.0,
        left_seconds=0.5,
        waiting=3,
        in_flight=2,
        limit=2.0,
        free_slots=0.0,
        word_age_seconds=0.02,
    )


def test_refused_calls_are_counted_by_reason():
    text = metrics_after(
        make_call_decided("sent"),
        make_call_decided("waits"),
        make_call_decided("refused: wait too long"),
    )
    lines = [line for line in text.splitlines() if line.startswith("rackswitch_calls_refused_")]
    assert lines == [
        'rackswitch_calls_refused_total{daemon="d",reason="wait too long",service="desk"} 1.0'
    ]


def test_wait_queue_gauges_include_tenant_shares():
    service_load = AdmissionState(
        service="desk",
        waiting=3,
        in_flight=2,
        limit=2.5,
        oldest_wait_seconds=0.2,
        tenant_shares={"a": 0.75},
    )
    text = metrics_after(service_load)
    assert 'rackswitch_calls_waiting{daemon="d",service="desk"} 3.0' in text
    assert 'rackswitch_oldest_wait_seconds{daemon="d",service="desk"} 0.2' in text
    assert 'rackswitch_concurrency_limit{daemon="d",service="desk"} 2.5' in text
    assert 'rackswitch_tenant_share{daemon="d",service="desk",tenant="a"} 0.75' in text


def test_evacuated_zones_and_excluded_targets_are_current_values():
    """A count of events would not show that a zone is back in service."""
    common = {"zone": "z1", "revision": 4, "list_age_seconds": 0.1}
    begun = ZoneEvacuated(**common, zones_evacuated=1, targets_excluded={"desk": 2})
    excluded = TargetsExcluded(request="r", service="desk", reasons={"region not allowed": 3})
    text = metrics_after(begun, excluded)
    assert 'rackswitch_zones_evacuated{daemon="d"} 1.0' in text
    labels = 'daemon="d",reason="zone evacuated",service="desk"'
    assert f"rackswitch_targets_excluded{{{labels}}} 2.0" in text
    assert 'reason="region not allowed",service="desk"} 3.0' in text
    ended = EvacuationEnded(
        **common, evacuated_seconds=9.0, zones_evacuated=0, targets_excluded={"desk": 0}
    )
    text = metrics_after(begun, ended)
    assert 'rackswitch_zones_evacuated{daemon="d"} 0.0' in text
    assert f"rackswitch_targets_excluded{{{labels}}} 0.0" in text


def test_cold_targets_and_sends_to_them_are_counted():
    """Guards against operators who cannot see how many targets are cold, and what waits."""
    place = {"service": "s", "zone": "z"}
    request = {"request": "r", "target": "e0", "service": "s", "kind": "text"}
    text = metrics_after(
        TargetCold(target="e0", left_seconds=3.0, source="entry", **place),
        TargetCold(target="e1", left_seconds=3.0, source="entry", **place),
        TargetWarm(target="e0", is_listed=True, **place),
        ColdTargetSent(cold_left_seconds=2.0, **request),
        ColdTargetHeld(cold_left_seconds=2.0, **request),
        ColdTargetHeld(cold_left_seconds=1.9, **request),
    )
    assert 'rackswitch_cold_targets{daemon="d",service="s",zone="z"} 1.0' in text
    assert 'rackswitch_cold_sends_total{daemon="d",kind="text",service="s"} 1.0' in text
    assert 'rackswitch_cold_sends_held_total{daemon="d",kind="text",service="s"} 2.0' in text
