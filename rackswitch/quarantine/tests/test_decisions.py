"""Fingerprints, end investigations, evidence and verdicts."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.quarantine import (
    AwaitingInvestigations,
    EndEvidence,
    EndInvestigations,
    EndRecord,
    Evidence,
    HeldBack,
    LocalEnds,
    NotSuspected,
    ProbeOutcome,
    Suspicion,
    TrialDue,
    TrialRecord,
    judge,
    judge_item,
    request_fingerprint,
)
from rackswitch.quarantine.end_investigations import (
    INVESTIGATION_SECONDS,
    MAX_RUNS,
    REFUSALS_TO_CONFIRM,
)
from rackswitch.quarantine.evidence import EVIDENCE_LIFETIME_SECONDS, MAX_ENDS
from rackswitch.quarantine.verdicts import ENDS_TO_HOLD, MAX_ITEM_DELAY_SECONDS, MAX_TRIALS

REQUEST_PARTS = ("tenant", "host.example", "POST", "/a/b?c", b"body")


def test_a_fingerprint_depends_on_each_part_and_its_boundaries():
    fingerprint = request_fingerprint(*REQUEST_PARTS)
    assert fingerprint == request_fingerprint("tenant", "HOST.example", "POST", "/a/b?c", b"body")
    for number, part in enumerate(REQUEST_PARTS):
        other = list(REQUEST_PARTS)
        other[number] = part + (b"x" if isinstance(part, bytes) else "x")
        assert request_fingerprint(*other) != fingerprint
    shifted = request_fingerprint("tenan", "thost.example", "POST", "/a/b?c", b"body")
    assert shifted != fingerprint


def test_repeated_refusals_prove_an_end_and_an_answer_disproves_it():
    investigations = EndInvestigations()
    assert investigations.record_interruption("t", "f", 0.0)
    assert not investigations.record_interruption("t", "g", 0.1)
    for number in range(REFUSALS_TO_CONFIRM - 1):
        assert investigations.record_probe("t", ProbeOutcome.REFUSED, number, number) is None
    end = investigations.record_probe("t", ProbeOutcome.REFUSED, 3.0, 3.0)
    assert (end.fingerprints, end.evidence) == (("f", "g"), EndEvidence.REFUSED)
    assert not investigations.is_open("t")
    investigations.record_interruption("u", "f", 0.0)
    assert investigations.record_probe("u", ProbeOutcome.ANSWERED, 0.0, 0.1) is None
    assert investigations.count("f") == 0


def test_an_answer_does_not_cover_runs_interrupted_during_the_probe():
    investigations = EndInvestigations()
    investigations.record_interruption("t", "f", 0.0)
    investigations.record_interruption("t", "g", 1.5)
    investigations.record_probe("t", ProbeOutcome.ANSWERED, 1.0, 2.0)
    assert (investigations.count("f"), investigations.count("g")) == (0, 1)


def test_a_silent_target_is_investigated_for_a_limited_time():
    investigations = EndInvestigations()
    for target in ("t", "u"):
        investigations.record_interruption(target, "f", 0.0)
        assert (
            investigations.record_probe(
                target, ProbeOutcome.SILENT, 0.0, INVESTIGATION_SECONDS - 0.1
            )
            is None
        )
    assert investigations.close("t", EndEvidence.UNLISTED).fingerprints == ("f",)
    investigations.record_probe(
        "u", ProbeOutcome.SILENT, INVESTIGATION_SECONDS, INVESTIGATION_SECONDS
    )
    assert investigations.close("u", EndEvidence.UNLISTED) is None


def test_interrupted_runs_per_target_are_bounded():
    investigations = EndInvestigations()
    for number in range(10 * MAX_RUNS):
        investigations.record_interruption("t", f"f{number}", 0.0)
    assert len(investigations.close("t", EndEvidence.REPLACED).fingerprints) == MAX_RUNS


def record(number, ends, cleared=()):
    local_ends = LocalEnds()
    for target, runs in ends.items():
        local_ends.record_end(target, tuple(runs), 100.0)
    for fingerprint, targets in cleared:
        local_ends.clear(fingerprint, set(targets), 100.0)
    return local_ends.to_record(number, 7)


def test_each_end_counts_once_and_outdated_records_are_ignored():
    evidence = Evidence()
    evidence.put_record("a", record(2, {"t": "f", "u": "f"}))
    evidence.put_record("b", record(1, {"u": "f", "v": "f"}))
    assert evidence.count("f") == 3
    evidence.put_record("a", record(1, {}))
    assert evidence.count("f") == 3
    evidence.put_record("a", record(3, {}))
    assert evidence.count("f") == 2
    evidence.remove_record("b")
    assert evidence.is_empty


def test_a_request_is_the_only_suspect_once_the_others_are_cleared():
    evidence = Evidence()
    evidence.put_record("a", record(1, {"t": "fgh", "u": "fg"}))
    assert not evidence.is_sole_suspect("f")
    evidence.put_record("b", record(1, {}, [("g", ["t", "u"])]))
    assert evidence.count("g") == 0
    assert evidence.is_sole_suspect("f")
    assert not evidence.is_sole_suspect("h")
    assert evidence.max_ends_of_co_suspects("h") == 2


def test_clearing_removes_local_ends_and_reports_only_those_of_others():
    local_ends = LocalEnds()
    local_ends.record_end("t", ("f", "g"), 100.0)
    local_ends.record_end("u", ("f",), 100.0)
    local_ends.clear("f", set(), 101.0)
    assert [(end.target, end.runs) for end in local_ends.ends] == [("t", ("g",))]
    assert local_ends.cleared_requests == []
    local_ends.clear("f", {"v"}, 102.0)
    local_ends.clear("f", {"v", "w"}, 103.0)
    assert [entry.targets for entry in local_ends.cleared_requests] == [("v", "w")]


def test_local_ends_are_bounded_in_number_and_age():
    local_ends = LocalEnds()
    for number in range(5 * MAX_ENDS):
        local_ends.record_end(f"t{number}", ("f",), float(number))
    local_ends.expire(float(5 * MAX_ENDS))
    assert len(local_ends.ends) == MAX_ENDS
    assert local_ends.ends[-1].target == f"t{5 * MAX_ENDS - 1}"
    local_ends.expire(EVIDENCE_LIFETIME_SECONDS + 5 * MAX_ENDS)
    assert local_ends.ends == []


def test_a_new_process_continues_the_record_of_the_previous_one():
    local_ends = LocalEnds()
    local_ends.record_end("v", ("f",), 102.0)
    local_ends.adopt(record(4, {"t": "f", "u": "f"}))
    evidence = Evidence()
    evidence.put_record("a", local_ends.to_record(5, 7))
    assert evidence.count("f") == 3


NOW = 1_770_000_000.0


@pytest.mark.parametrize(
    ("suspicion", "expected"),
    [
        (Suspicion(0), NotSuspected),
        (Suspicion(2), NotSuspected),
        (Suspicion(0, unresolved=1), NotSuspected),
        (Suspicion(1, unresolved=1), AwaitingInvestigations),
        (Suspicion(0, unresolved=2), AwaitingInvestigations),
        (Suspicion(3, unresolved=1), AwaitingInvestigations),
        (Suspicion(3, is_sole_suspect=True, newest_end_unix_seconds=NOW), TrialDue),
        (Suspicion(4, 0, True, NOW, TrialRecord(1, NOW - 5.0)), HeldBack),
        (Suspicion(3, is_sole_suspect=False, newest_end_unix_seconds=NOW), TrialDue),
        (Suspicion(3, trial=TrialRecord(1, NOW + 5.0)), HeldBack),
        (Suspicion(3, trial=TrialRecord(1, NOW - 5.0)), TrialDue),
        (Suspicion(9, trial=TrialRecord(MAX_TRIALS, NOW - 5.0)), HeldBack),
        # The records of its ends have expired, that of its trials has not.
        (Suspicion(0, trial=TrialRecord(1, NOW + 5.0)), HeldBack),
    ],
)
def test_judges_whether_a_request_may_be_sent(suspicion, expected):
    assert isinstance(judge(suspicion, NOW), expected)


@pytest.mark.parametrize(
    ("suspicion", "expected"),
    [
        (Suspicion(2, newest_end_unix_seconds=NOW), NotSuspected),
        (Suspicion(1, unresolved=1), AwaitingInvestigations),
        (Suspicion(3, newest_end_unix_seconds=NOW), HeldBack),
        (Suspicion(3, newest_end_unix_seconds=NOW - MAX_ITEM_DELAY_SECONDS), NotSuspected),
        # Neither trials nor the blame for an end hold an item.
        (Suspicion(99, 0, True, NOW - 2.0, TrialRecord(MAX_TRIALS, NOW + 300.0)), NotSuspected),
    ],
)
def test_judges_whether_an_item_may_be_sent(suspicion, expected):
    assert isinstance(judge_item(suspicion, NOW), expected)


@given(st.integers(0, 1000), st.floats(0.0, 1000.0))
def test_an_item_is_delayed_for_a_bounded_time_after_an_end(ends, since_end_seconds):
    newest_end_unix_seconds = NOW - since_end_seconds
    verdict = judge_item(Suspicion(ends, 0, True, newest_end_unix_seconds), NOW)
    if isinstance(verdict, HeldBack):
        assert NOW < verdict.until_unix_seconds <= newest_end_unix_seconds + MAX_ITEM_DELAY_SECONDS


@given(st.integers(0, 10**6))
def test_a_held_request_that_ends_each_target_gets_at_most_the_maximum_trials(seed):
    """Holds for any other requests present, any answers in between and any duration."""
    rng = random.Random(seed)
    evidence, local_ends, now_unix_seconds, trial, sends = Evidence(), LocalEnds(), NOW, None, 0
    for number in range(200):
        now_unix_seconds += rng.choice((0.05, 1.0, 30.0, 400.0))
        evidence.put_record("a", local_ends.to_record(number, 7))
        is_alone = evidence.is_sole_suspect("f")
        newest_end_unix_seconds = evidence.newest_unix_seconds("f")
        verdict = judge(
            Suspicion(evidence.count("f"), 0, is_alone, newest_end_unix_seconds, trial),
            now_unix_seconds,
        )
        if isinstance(verdict, HeldBack):
            assert verdict.until_unix_seconds > now_unix_seconds
            continue
        if isinstance(verdict, TrialDue):
            trial = verdict.claim
        sends += evidence.count("f") >= ENDS_TO_HOLD
        others = tuple(f"g{rng.randrange(40)}" for _ in range(rng.randrange(4)))
        local_ends.record_end(f"t{number}", ("f", *others), now_unix_seconds)
        if rng.random() < 0.7:
            local_ends.clear(f"g{rng.randrange(40)}", set(), now_unix_seconds)
    assert sends <= MAX_TRIALS


@given(st.lists(st.sampled_from(["end", "answer"]), max_size=40))
def test_an_answer_clears_all_earlier_ends_of_a_request(events):
    evidence, local_ends, ends = Evidence(), LocalEnds(), 0
    for number, event in enumerate(events):
        if event == "end":
            local_ends.record_end(f"t{number}", ("f", "g"), NOW)
            ends += 1
        else:
            local_ends.clear("f", set(), NOW)
            ends = 0
        evidence.put_record("a", local_ends.to_record(number, 7))
        assert isinstance(judge(Suspicion(evidence.count("f")), NOW), NotSuspected) == (
            ends < ENDS_TO_HOLD
        )


def test_a_record_survives_encoding_and_decoding():
    stored = record(3, {"t": "fg"}, [("h", ["u"])])
    assert msgspec.json.decode(msgspec.json.encode(stored), type=EndRecord) == stored
