"""A played load of job ownership on uneven VMs, without a network."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rackswitch.jobs import OwnerCandidate, OwnerSelector
from rackswitch.jobs.item_limits import DEFAULT_MAX_ITEMS, ITEMS_PER_PROCESSOR, MBPS_PER_ITEM
from rackswitch.membership import VmCapacity, counted_capacities

Selector = Callable[[str, list[OwnerCandidate], int, float], str]

ZONES = 6
SUBMIT_INTERVAL_SECONDS = 4
JOB_SECONDS = (8.0, 20.0)
JOB_ITEMS = (32, 64)


def select_owner(
    daemon: str, candidates: list[OwnerCandidate], items: int, now_seconds: float
) -> str:
    """Return the choice of the shipped selector."""
    return OwnerSelector(daemon).select_owner(candidates, items, now_seconds)


def select_by_processor(
    daemon: str, candidates: Iterable[OwnerCandidate], items: int, now_seconds: float
) -> str:
    """Return the choice of the selector before memory and link counted, as a reference."""

    def owner_key(candidate: OwnerCandidate) -> tuple[int, float, str]:
        return candidate.open_items, -candidate.idle_seconds, candidate.daemon

    def max_items(candidate: OwnerCandidate) -> float:
        share = candidate.capacity.processor_share
        return share * ITEMS_PER_PROCESSOR if share else DEFAULT_MAX_ITEMS

    usable = [one for one in candidates if one.open_items + items <= max_items(one)]
    renewed = [one for one in usable if one.is_restarted]
    connected = renewed or [one for one in usable if one.has_connections]
    return max(connected, key=owner_key).daemon if connected else daemon


def uneven_fleet(daemons: int, rng: random.Random) -> dict[str, VmCapacity]:
    """Return VMs as uneven as those of the large deployment."""
    return {
        f"d{number}": VmCapacity(
            rng.uniform(0.516, 2.15), rng.uniform(200.0, 552.0), rng.uniform(30.0, 200.0)
        )
        for number in range(daemons)
    }


@dataclass(frozen=True, slots=True)
class OwnershipFigures:
    """Maxima over a played load.

    Attributes
    ----------
    fullest_link : float
        Largest part of a daemon's link that its open items use.
    smallest_vm_items : int
        Most open items of the VM with the smallest link of the fleet.
    owners : int
        Number of daemons that owned jobs.
    """

    fullest_link: float
    smallest_vm_items: int
    owners: int


def play(
    select: Selector, daemons: int, trainers_per_zone: int, seed: int, seconds: int = 120
) -> OwnershipFigures:
    """Return the figures of a load in which any daemon of a zone accepts a job."""
    rng = random.Random(seed)
    fleet = uneven_fleet(daemons, rng)
    counted = counted_capacities(fleet)
    zones = [list(fleet)[zone::ZONES] for zone in range(ZONES)]
    smallest = min(fleet, key=lambda name: fleet[name].link_mbps)
    open_jobs: list[tuple[float, str, int]] = []
    submitted_at: dict[str, float] = {}
    fullest_link, smallest_vm_items = 0.0, 0
    for now in range(0, seconds, SUBMIT_INTERVAL_SECONDS):
        open_jobs = [job for job in open_jobs if job[0] > now]
        for names in zones * trainers_per_zone:
            items, ends = rng.randint(*JOB_ITEMS), now + rng.uniform(*JOB_SECONDS)
            counts = _open_items(open_jobs)
            candidates = [
                OwnerCandidate(
                    name, counted[name], counts[name], now - submitted_at.get(name, float("-inf"))
                )
                for name in names
            ]
            owner = select(rng.choice(names), candidates, items, float(now))
            open_jobs.append((ends, owner, items))
            submitted_at[owner] = now
        counts = _open_items(open_jobs)
        link_shares = [n * MBPS_PER_ITEM / fleet[name].link_mbps for name, n in counts.items()]
        fullest_link = max(fullest_link, *link_shares)
        smallest_vm_items = max(smallest_vm_items, counts[smallest])
    return OwnershipFigures(fullest_link, smallest_vm_items, len(submitted_at))


def _open_items(open_jobs: list[tuple[float, str, int]]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for _, owner, items in open_jobs:
        counts[owner] += items
    return counts
