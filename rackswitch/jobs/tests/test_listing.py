"""When results are listed, seen from a trainer that waits for whole groups."""

import random

import msgspec
import pytest

from rackswitch.jobs import JobLedger, listing_pause_seconds
from rackswitch.jobs.tests.support import finish, make_job

STEADY_SECONDS = 0.2
GROUPS = 10
WANTED = 9


def job(items: int = 4, wanted_groups: int = 0):
    return msgspec.structs.replace(make_job(items), wanted_groups=wanted_groups)


def list_all(ledger: JobLedger) -> None:
    position, segment = ledger.next_segment()
    ledger.appended(position, segment)


def test_only_what_makes_the_wanted_groups_whole_is_listed_at_once():
    ledger = JobLedger(job(6, wanted_groups=2))
    for item in ("i0", "i2", "i4", "i1"):
        finish(ledger, item)
        assert listing_pause_seconds(ledger) > 0
    finish(ledger, "i3")
    assert listing_pause_seconds(ledger) == 0
    list_all(ledger)
    finish(ledger, "i5")
    assert listing_pause_seconds(ledger) > 0


def test_without_wanted_groups_the_last_item_decides():
    ledger = JobLedger(job(4))
    for item in ("i0", "i1", "i2"):
        finish(ledger, item)
    assert listing_pause_seconds(ledger) > 0
    finish(ledger, "i3")
    assert listing_pause_seconds(ledger) == 0


def test_a_new_owner_knows_which_groups_were_listed_before():
    first = JobLedger(job(6, wanted_groups=2))
    for item in ("i0", "i1"):
        finish(first, item)
    list_all(first)
    second = JobLedger(job(6, wanted_groups=2), list(first.listed))
    finish(second, "i4")
    assert listing_pause_seconds(second) > 0
    finish(second, "i5")
    assert listing_pause_seconds(second) == 0


def play(seed: int, pause_of) -> tuple[float, int]:
    """Return how long a step's end waits to be listed, and how many segments it takes."""
    rng = random.Random(seed)
    ledger = JobLedger(job(2 * GROUPS, wanted_groups=WANTED))
    ends = {f"i{n}": rng.lognormvariate(0.0, 0.8) for n in range(2 * GROUPS)}
    whole = sorted(max(ends[f"i{2 * g}"], ends[f"i{2 * g + 1}"]) for g in range(GROUPS))
    step_seconds = whole[WANTED - 1]
    waiting = sorted(ends, key=lambda item: ends[item])
    last_seconds, segments, now_seconds = float("-inf"), 0, 0.0
    while True:
        now_seconds += 0.01
        while waiting and ends[waiting[0]] <= now_seconds:
            finish(ledger, waiting.pop(0))
        if ledger.has_pending and now_seconds >= last_seconds + pause_of(ledger):
            list_all(ledger)
            last_seconds, segments = now_seconds, segments + 1
        listed = {result.item_id for result in ledger.listed}
        groups = sum({f"i{2 * g}", f"i{2 * g + 1}"} <= listed for g in range(GROUPS))
        if groups >= WANTED:
            return now_seconds - step_seconds, segments


@pytest.mark.parametrize("seed", range(5))
def test_a_step_is_whole_sooner_and_with_fewer_calls_than_by_a_steady_pace(seed):
    late_seconds, segments = play(seed, listing_pause_seconds)
    steady_late_seconds, steady_segments = play(seed, lambda ledger: STEADY_SECONDS)
    assert late_seconds <= min(0.02, steady_late_seconds + 0.01)
    assert segments <= steady_segments
