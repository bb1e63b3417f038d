"""Fingerprints, end investigations, evidence and verdicts."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.quarantine import (
    EndEvidence,
    EndInvestigations,
    EndRecord,
    Evidence,
    HeldBack,
    LocalEnds,
    NotSuspected,
    Paced,
    ProbeOutcome,
    Suspicion,
    TrialDue,
    TrialRecord,
    judge,
    request_fingerprint,
)
from rackswitch.quarantine.end_investigations import (
    INVESTIGATION_SECONDS,
    MAX_RUNS,
    REFUSALS_TO_CONFIRM,
)
from rackswitch.quarantine.evidence import EVIDENCE_LIFETIME_SECONDS, MAX_ENDS
from rackswitch.quarantine.verdicts import ENDS_TO_HOLD, MAX_TRIALS

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
    assert investigations.broke("t", "f", 0.0)
    assert not investigations.broke("t", "g", 0.1)
    for number in range(REFUSALS_TO_CONFIRM - 1):
        assert investigations.looked("t", ProbeOutcome.REFUSED, number, number) is None
    end = investigations.looked("t", ProbeOutcome.REFUSED, 3.0, 3.0)
    assert (end.fingerprints, end.evidence) == (("f", "g"), EndEvidence.REFUSED)
    assert not investigations.is_open("t")
    investigations.broke("u", "f", 0.0)
    assert investigations.looked("u", ProbeOutcome.ANSWERED, 0.0, 0.1) is None
    assert investigations.count("f") == 0


def test_an_answer_does_not_cover_runs_interrupted_during_the_probe():
    investigations = EndInvestigations()
    investigations.broke("t", "f", 0.0)
    investigations.broke("t", "g", 1.5)
    investigations.looked("t", ProbeOutcome.ANSWERED, 1.0, 2.0)
    assert (investigations.count("f"), investigations.count("g")) == (0, 1)


def test_a_silent_target_is_investigated_for_a_limited_time():
    investigations = EndInvestigations()
    for target in ("t", "u"):
        investigations.broke(target, "f", 0.0)
        assert (
            investigations.looked(target, ProbeOutcome.SILENT, 0.0, INVESTIGATION_SECONDS - 0.1)
            is None
        )
    assert investigations.ended("t", EndEvidence.UNLISTED).fingerprints == ("f",)
    investigations.looked("u", ProbeOutcome.SILENT, INVESTIGATION_SECONDS, INVESTIGATION_SECONDS)
    assert investigations.ended("u", EndEvidence.UNLISTED) is None


def test_interrupted_runs_per_target_are_bounded():
    investigations = EndInvestigations()
    for number in range(10 * MAX_RUNS):
        investigations.broke("t", f"f{number}", 0.0)
    assert len(investigations.ended("t", EndEvidence.REPLACED).fingerprints) == MAX_RUNS


def record(number, ends, cleared=()):
    local_ends = LocalEnds()
    for target, runs in ends.items():
        local_ends.ended(target, tuple(runs), 100.0)
    for fingerprint, targets in cleared:
        local_ends.acquit(fingerprint, set(targets), 100.0)
    return local_ends.record(number, 7)


def test_each_end_counts_once_and_outdated_records_are_ignored():
    evidence = Evidence()
    evidence.take("a", record(2, {"t": "f", "u": "f"}))
    evidence.take("b", record(1, {"u": "f", "v": "f"}))
    assert evidence.count("f") == 3
    evidence.take("a", record(1, {}))
    assert evidence.count("f") == 3
    evidence.take("a", record(3, {}))
    assert evidence.count("f") == 2
    evidence.drop("b")
    assert evidence.is_empty


def test_a_request_is_the_only_suspect_once_the_others_are_cleared():
    evidence = Evidence()
    evidence.take("a", record(1, {"t": "fgh", "u": "fg"}))
    assert not evidence.is_alone("f")
    evidence.take("b", record(1, {}, [("g", ["t", "u"])]))
    assert evidence.count("g") == 0
    assert evidence.is_alone("f")
    assert not evidence.is_alone("h")
    assert evidence.max_suspected_beside("h") == 2


def test_clearing_removes_local_ends_and_reports_only_those_of_others():
    local_ends = LocalEnds()
    local_ends.ended("t", ("f", "g"), 100.0)
    local_ends.ended("u", ("f",), 100.0)
    local_ends.acquit("f", set(), 101.0)
    assert [(end.target, end.runs) for end in local_ends.ends] == [("t", ("g",))]
    assert local_ends.acquittals == []
    local_ends.acquit("f", {"v"}, 102.0)
    local_ends.acquit("f", {"v", "w"}, 103.0)
    assert [entry.targets for entry in local_ends.acquittals] == [("v", "w")]


def test_local_ends_are_bounded_in_number_and_age():
    local_ends = LocalEnds()
    for number in range(5 * MAX_ENDS):
        local_ends.ended(f"t{number}", ("f",), float(number))
    local_ends.expire(float(5 * MAX_ENDS))
    assert len(local_ends.ends) == MAX_ENDS
    assert local_ends.ends[-1].target == f"t{5 * MAX_ENDS - 1}"
    local_ends.expire(EVIDENCE_LIFETIME_SECONDS + 5 * MAX_ENDS)
    assert local_ends.ends == []


def test_a_new_process_continues_the_record_of_the_previous_one():
    local_ends = LocalEnds()
    local_ends.ended("v", ("f",), 102.0)
    local_ends.adopt(record(4, {"t": "f", "u": "f"}))
    evidence = Evidence()
    evidence.take("a", local_ends.record(5, 7))
    assert evidence.count("f") == 3


NOW = 1_770_000_000.0


@pytest.mark.parametrize(
    ("suspicion", "expected"),
    [
        (Suspicion(0), NotSuspected),
        (Suspicion(2), NotSuspected),
        (Suspicion(0, unknown=1), NotSuspected),
        (Suspicion(1, unknown=1), Paced),
        (Suspicion(0, unknown=2), Paced),
        (Suspicion(3, unknown=1), Paced),
        (Suspicion(3, is_alone=True, newest_end_unix_seconds=NOW), TrialDue),
        (Suspicion(4, 0, True, NOW, TrialRecord(1, NOW - 5.0)), HeldBack),
        (Suspicion(3, is_alone=False, newest_end_unix_seconds=NOW), TrialDue),
        (Suspicion(3, trial=TrialRecord(1, NOW + 5.0)), HeldBack),
        (Suspicion(3, trial=TrialRecord(1, NOW - 5.0)), TrialDue),
        (Suspicion(9, trial=TrialRecord(MAX_TRIALS, NOW - 5.0)), HeldBack),
        # The records of its ends have expired, that of its trials has not.
        (Suspicion(0, trial=TrialRecord(1, NOW + 5.0)), HeldBack),
    ],
)
def test_judges_whether_a_request_may_be_sent(suspicion, expected):
    assert isinstance(judge(suspicion, NOW), expected)


@given(st.integers(0, 10**6))
def test_a_held_request_that_ends_each_target_gets_at_most_the_maximum_trials(seed):
    """Holds for any other requests present, any answers in between and any duration."""
    rng = random.Random(seed)
    evidence, local_ends, now_unix_seconds, trial, sends = Evidence(), LocalEnds(), NOW, None, 0
    for number in range(200):
        now_unix_seconds += rng.choice((0.05, 1.0, 30.0, 400.0))
        evidence.take("a", local_ends.record(number, 7))
        is_alone = evidence.is_alone("f")
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
        local_ends.ended(f"t{number}", ("f", *others), now_unix_seconds)
        if rng.random() < 0.7:
            local_ends.acquit(f"g{rng.randrange(40)}", set(), now_unix_seconds)
    assert sends <= MAX_TRIALS


@given(st.lists(st.sampled_from(["end", "answer"]), max_size=40))
def test_an_answer_clears_all_earlier_ends_of_a_request(events):
    evidence, local_ends, ends = Evidence(), LocalEnds(), 0
    for number, event in enumerate(events):
        if event == "end":
            local_ends.ended(f"t{number}", ("f", "g"), NOW)
            ends += 1
        else:
            local_ends.acquit("f", set(), NOW)
            ends = 0
        evidence.take("a", local_ends.record(number, 7))
        assert isinstance(judge(Suspicion(evidence.count("f")), NOW), NotSuspected) == (
            ends < ENDS_TO_HOLD
        )


def test_a_record_survives_encoding_and_decoding():
    stored = record(3, {"t": "fg"}, [("h", ["u"])])
    assert msgspec.json.decode(msgspec.json.encode(stored), type=EndRecord) == stored
