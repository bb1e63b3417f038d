"""When results are listed, as seen by a trainer that waits for complete groups."""

import random

import msgspec
import pytest

from rackswitch.jobs import JobLedger, listing_interval_seconds
from rackswitch.jobs.tests.support import finish, make_job

FIXED_INTERVAL_SECONDS = 0.2
GROUPS = 10
WANTED = 9


def job(items: int = 4, wanted_groups: int = 0):
    return msgspec.structs.replace(make_job(items), wanted_groups=wanted_groups)


def list_all(ledger: JobLedger) -> None:
    position, segment = ledger.next_segment()
    ledger.record_segment(position, segment)


def test_only_results_that_complete_the_wanted_groups_are_listed_at_once():
    ledger = JobLedger(job(6, wanted_groups=2))
    for item in ("i0", "i2", "i4", "i1"):
        finish(ledger, item)
        assert listing_interval_seconds(ledger) > 0
    finish(ledger, "i3")
    assert listing_interval_seconds(ledger) == 0
    list_all(ledger)
    finish(ledger, "i5")
    assert listing_interval_seconds(ledger) > 0


def test_without_wanted_groups_only_the_last_item_is_listed_at_once():
    ledger = JobLedger(job(4))
    for item in ("i0", "i1", "i2"):
        finish(ledger, item)
    assert listing_interval_seconds(ledger) > 0
    finish(ledger, "i3")
    assert listing_interval_seconds(ledger) == 0


def test_new_owner_knows_which_groups_are_listed():
    first = JobLedger(job(6, wanted_groups=2))
    for item in ("i0", "i1"):
        finish(first, item)
    list_all(first)
    second = JobLedger(job(6, wanted_groups=2), list(first.listed))
    finish(second, "i4")
    assert listing_interval_seconds(second) > 0
    finish(second, "i5")
    assert listing_interval_seconds(second) == 0


def simulate_step(seed: int, interval_of) -> tuple[float, int]:
    """Return the delay until a step's last result is listed, and the number of segments."""
    rng = random.Random(seed)
    ledger = JobLedger(job(2 * GROUPS, wanted_groups=WANTED))
    end_seconds = {f"i{n}": rng.lognormvariate(0.0, 0.8) for n in range(2 * GROUPS)}
    completed_at_seconds = sorted(
        max(end_seconds[f"i{2 * g}"], end_seconds[f"i{2 * g + 1}"]) for g in range(GROUPS)
    )
    step_seconds = completed_at_seconds[WANTED - 1]
    waiting = sorted(end_seconds, key=lambda item: end_seconds[item])
    last_segment_seconds, segments, now_seconds = float("-inf"), 0, 0.0
    while True:
        now_seconds += 0.01
        while waiting and end_seconds[waiting[0]] <= now_seconds:
            finish(ledger, waiting.pop(0))
        if ledger.has_pending and now_seconds >= last_segment_seconds + interval_of(ledger):
            list_all(ledger)
            last_segment_seconds, segments = now_seconds, segments + 1
        listed = {result.item_id for result in ledger.listed}
        groups = sum({f"i{2 * g}", f"i{2 * g + 1}"} <= listed for g in range(GROUPS))
        if groups >= WANTED:
            return now_seconds - step_seconds, segments


@pytest.mark.parametrize("seed", range(5))
def test_step_completes_sooner_and_with_fewer_segments_than_at_a_fixed_interval(seed):
    delay_seconds, segments = simulate_step(seed, listing_interval_seconds)
    fixed_delay_seconds, fixed_segments = simulate_step(seed, lambda ledger: FIXED_INTERVAL_SECONDS)
    assert delay_seconds <= min(0.02, fixed_delay_seconds + 0.01)
    assert segments <= fixed_segments
