"""Fingerprints, inquiries, evidence and verdicts."""

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
from rackswitch.quarantine.end_investigations import INQUIRY_SECONDS, MAX_RUNS, REFUSALS_TO_TELL
from rackswitch.quarantine.evidence import MAX_ENDS, RECORD_LIFE_SECONDS
from rackswitch.quarantine.verdicts import ENDS_TO_HOLD, MAX_TRIALS

PARTS = ("tenant", "host.example", "POST", "/a/b?c", b"body")


def test_a_fingerprint_depends_on_each_part_and_on_where_it_ends():
    own = request_fingerprint(*PARTS)
    assert own == request_fingerprint("tenant", "HOST.example", "POST", "/a/b?c", b"body")
    for number, part in enumerate(PARTS):
        other = list(PARTS)
        other[number] = part + (b"x" if isinstance(part, bytes) else "x")
        assert request_fingerprint(*other) != own
    shifted = request_fingerprint("tenan", "thost.example", "POST", "/a/b?c", b"body")
    assert shifted != own


def test_a_target_has_ended_when_it_refuses_for_a_while_and_not_when_it_answers():
    inquiries = EndInvestigations()
    assert inquiries.broke("t", "f", 0.0)
    assert not inquiries.broke("t", "g", 0.1)
    for number in range(REFUSALS_TO_TELL - 1):
        assert inquiries.looked("t", ProbeOutcome.REFUSED, number, number) is None
    end = inquiries.looked("t", ProbeOutcome.REFUSED, 3.0, 3.0)
    assert (end.fingerprints, end.evidence) == (("f", "g"), EndEvidence.REFUSED)
    assert not inquiries.is_open("t")
    inquiries.broke("u", "f", 0.0)
    assert inquiries.looked("u", ProbeOutcome.ANSWERED, 0.0, 0.1) is None
    assert inquiries.count("f") == 0


def test_an_answer_says_nothing_of_runs_that_broke_after_the_look_began():
    inquiries = EndInvestigations()
    inquiries.broke("t", "f", 0.0)
    inquiries.broke("t", "g", 1.5)
    inquiries.looked("t", ProbeOutcome.ANSWERED, 1.0, 2.0)
    assert (inquiries.count("f"), inquiries.count("g")) == (0, 1)


def test_a_target_that_is_silent_is_left_after_a_while_unless_the_list_tells_its_end():
    inquiries = EndInvestigations()
    for target in ("t", "u"):
        inquiries.broke(target, "f", 0.0)
        assert inquiries.looked(target, ProbeOutcome.SILENT, 0.0, INQUIRY_SECONDS - 0.1) is None
    assert inquiries.ended("t", EndEvidence.UNLISTED).fingerprints == ("f",)
    inquiries.looked("u", ProbeOutcome.SILENT, INQUIRY_SECONDS, INQUIRY_SECONDS)
    assert inquiries.ended("u", EndEvidence.UNLISTED) is None


def test_what_is_kept_of_one_target_is_bounded():
    inquiries = EndInvestigations()
    for number in range(10 * MAX_RUNS):
        inquiries.broke("t", f"f{number}", 0.0)
    assert len(inquiries.ended("t", EndEvidence.REPLACED).fingerprints) == MAX_RUNS


def record(number, ends, acquitted=()):
    own = LocalEnds()
    for target, runs in ends.items():
        own.ended(target, tuple(runs), 100.0)
    for fingerprint, targets in acquitted:
        own.acquit(fingerprint, set(targets), 100.0)
    return own.record(number, 7)


def test_ends_of_all_daemons_count_once_each_and_old_records_change_nothing():
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


def test_who_ends_targets_is_left_alone_as_others_are_answered():
    evidence = Evidence()
    evidence.take("a", record(1, {"t": "fgh", "u": "fg"}))
    assert not evidence.is_alone("f")
    evidence.take("b", record(1, {}, [("g", ["t", "u"])]))
    assert evidence.count("g") == 0
    assert evidence.is_alone("f")
    assert not evidence.is_alone("h")
    assert evidence.max_suspected_beside("h") == 2


def test_an_acquittal_takes_own_ends_out_and_tells_only_of_those_of_others():
    own = LocalEnds()
    own.ended("t", ("f", "g"), 100.0)
    own.ended("u", ("f",), 100.0)
    own.acquit("f", set(), 101.0)
    assert [(end.target, end.runs) for end in own.ends] == [("t", ("g",))]
    assert own.acquittals == []
    own.acquit("f", {"v"}, 102.0)
    own.acquit("f", {"v", "w"}, 103.0)
    assert [kept.targets for kept in own.acquittals] == [("v", "w")]


def test_own_ends_are_bounded_in_number_and_time():
    own = LocalEnds()
    for number in range(5 * MAX_ENDS):
        own.ended(f"t{number}", ("f",), float(number))
    own.expire(float(5 * MAX_ENDS))
    assert len(own.ends) == MAX_ENDS
    assert own.ends[-1].target == f"t{5 * MAX_ENDS - 1}"
    own.expire(RECORD_LIFE_SECONDS + 5 * MAX_ENDS)
    assert own.ends == []


def test_a_later_process_goes_on_with_the_record_of_an_earlier_one():
    own = LocalEnds()
    own.ended("v", ("f",), 102.0)
    own.adopt(record(4, {"t": "f", "u": "f"}))
    evidence = Evidence()
    evidence.take("a", own.record(5, 7))
    assert evidence.count("f") == 3


NOW = 1_770_000_000.0


@pytest.mark.parametrize(
    ("suspicion", "kind"),
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
        # The records of its ends have gone, that of its trials has not.
        (Suspicion(0, trial=TrialRecord(1, NOW + 5.0)), HeldBack),
    ],
)
def test_whether_a_request_may_be_sent(suspicion, kind):
    assert isinstance(judge(suspicion, NOW), kind)


@given(st.integers(0, 10**6))
def test_a_request_that_ends_each_target_is_sent_three_times_at_most_once_it_is_held(seed):
    """Whoever else was present, whatever is answered meanwhile, however long it goes on."""
    rng = random.Random(seed)
    evidence, own, now, trial, sends = Evidence(), LocalEnds(), NOW, None, 0
    for number in range(200):
        now += rng.choice((0.05, 1.0, 30.0, 400.0))
        evidence.take("a", own.record(number, 7))
        alone = evidence.is_alone("f")
        newest = evidence.newest_unix_seconds("f")
        verdict = judge(Suspicion(evidence.count("f"), 0, alone, newest, trial), now)
        if isinstance(verdict, HeldBack):
            assert verdict.until_unix_seconds > now
            continue
        if isinstance(verdict, TrialDue):
            trial = verdict.claim
        sends += evidence.count("f") >= ENDS_TO_HOLD
        others = tuple(f"g{rng.randrange(40)}" for _ in range(rng.randrange(4)))
        own.ended(f"t{number}", ("f", *others), now)
        if rng.random() < 0.7:
            own.acquit(f"g{rng.randrange(40)}", set(), now)
    assert sends <= MAX_TRIALS


@given(st.lists(st.sampled_from(["end", "answer"]), max_size=40))
def test_a_request_that_targets_answer_is_never_held_for_what_was_before(steps):
    evidence, own, ends = Evidence(), LocalEnds(), 0
    for number, step in enumerate(steps):
        if step == "end":
            own.ended(f"t{number}", ("f", "g"), NOW)
            ends += 1
        else:
            own.acquit("f", set(), NOW)
            ends = 0
        evidence.take("a", own.record(number, 7))
        assert isinstance(judge(Suspicion(evidence.count("f")), NOW), NotSuspected) == (
            ends < ENDS_TO_HOLD
        )


def test_a_record_outlasts_its_way_through_the_service():
    told = record(3, {"t": "fg"}, [("h", ["u"])])
    assert msgspec.json.decode(msgspec.json.encode(told), type=EndRecord) == told
