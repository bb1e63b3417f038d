from rackswitch.telemetry import Telemetry
from rackswitch.telemetry.events import (
    CallDecided,
    DependencyLost,
    DependencyRegained,
    PlaceSeen,
    RequestRefused,
    ResultsAppended,
    RewardCallEnded,
    RoomSeen,
    TableInForce,
)
from rackswitch.telemetry.meters import MAX_LABEL_VALUES, OTHER, short_outcome
from rackswitch.telemetry.tests.test_journal import served


def exposed(*events) -> str:
    telemetry = Telemetry("d")
    for event in events:
        telemetry.events.count(event)
    try:
        return telemetry.exposition().decode()
    finally:
        telemetry.close()


def test_a_request_counts_by_route_class_and_outcome_with_its_time():
    text = exposed(served(1), served(2, "not run: no target"))
    assert 'rackswitch_requests_total{caller_class="2",daemon="d",outcome="200"' in text
    assert 'outcome="not run"' in text
    assert (
        'rackswitch_request_seconds_count{caller_class="2",daemon="d",tenant="lookup"} 2.0' in text
    )


def test_a_dependency_is_up_again_once_it_answers():
    lost = DependencyLost(dependency="key-value", detail="x")
    back = DependencyRegained(dependency="key-value", away_seconds=1.0)
    name = 'rackswitch_dependency_up{daemon="d",dependency="key-value"}'
    assert f"{name} 0" in exposed(lost)
    assert f"{name} 1" in exposed(lost, back)


def test_only_results_that_are_kept_have_a_position():
    def appended(outcome: str) -> ResultsAppended:
        return ResultsAppended(
            job="j", position=0, items=["a", "b"], owner_revision=1, outcome=outcome
        )

    text = exposed(appended("Appended"), appended("AppendConflict"))
    assert 'rackswitch_positions_total{daemon="d"} 2.0' in text


def test_the_table_in_force_is_told():
    text = exposed(TableInForce(revision=9, revision_before=8))
    assert 'rackswitch_table_revision{daemon="d"} 9.0' in text


def test_what_is_believed_of_a_chosen_target_is_told():
    def scored(target: str, place: PlaceSeen | None) -> RewardCallEnded:
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

    place = PlaceSeen(
        slots=6, running=6.0, waiting=2.0, pace=1.5, wait_seconds=0.25, word_age_seconds=0.5
    )
    text = exposed(scored("told", place), scored("tells none", None))
    assert 'rackswitch_believed_wait_seconds{daemon="d",target="told"} 0.25' in text
    assert 'rackswitch_word_age_seconds{daemon="d",target="told"} 0.5' in text
    assert "tells none" not in text


def test_labels_are_bounded():
    refusals = [
        RequestRefused(request="r", path="/", status=number, detail="", table_revision=1)
        for number in range(2 * MAX_LABEL_VALUES)
    ]
    text = exposed(*refusals)
    lines = [line for line in text.splitlines() if line.startswith("rackswitch_refusals_total{")]
    assert len(lines) == MAX_LABEL_VALUES + 1
    assert f'rackswitch_refusals_total{{daemon="d",status="{OTHER}"}} {MAX_LABEL_VALUES}' in text


def test_an_outcome_is_cut_to_its_kind():
    assert short_outcome("not run: no target of 's'") == "not run"
    assert short_outcome("200, resumed 2 times") == "200"


def decided(outcome: str) -> CallDecided:
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


def test_calls_without_room_count_by_reason():
    text = exposed(decided("sent"), decided("waits"), decided("refused: wait too long"))
    lines = [line for line in text.splitlines() if line.startswith("rackswitch_calls_refused_")]
    assert lines == [
        'rackswitch_calls_refused_total{daemon="d",reason="wait too long",service="desk"} 1.0'
    ]


def test_a_room_is_told_with_its_tenants():
    seen = RoomSeen(
        service="desk",
        waiting=3,
        in_flight=2,
        limit=2.5,
        oldest_wait_seconds=0.2,
        tenant_shares={"a": 0.75},
    )
    text = exposed(seen)
    assert 'rackswitch_calls_waiting{daemon="d",service="desk"} 3.0' in text
    assert 'rackswitch_oldest_wait_seconds{daemon="d",service="desk"} 0.2' in text
    assert 'rackswitch_concurrency_limit{daemon="d",service="desk"} 2.5' in text
    assert 'rackswitch_tenant_share{daemon="d",service="desk",tenant="a"} 0.75' in text
