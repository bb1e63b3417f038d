"""How many engines, and how many of them reclaimable: ways by name."""

import math
from collections.abc import Callable

from rackswitch.registry import Registry

__all__ = ["CAPACITY_POLICIES", "KIND_POLICIES", "CapacityPolicy", "KindPolicy"]

FAULT_SPARE = 1.2
"""How many times as many engines as the load needs: on the users' days up to a sixth of a
service's engines are slow or lost at a time."""

UTILISATION = 0.35
"""Part of the slots that is to be busy on average. On a calm day of 22 engines and four trainers
it is 0.3, and no step is late."""

CapacityPolicy = Callable[[float, float, int], int | None]
"""From the slots wanted at a step's start, the mean of busy slots and the slots of an engine to the
engines wanted; None to leave the engines as they are."""

KindPolicy = Callable[[int, int], int]
"""From the engines wanted and the kept ones that stand to the reclaimable ones wanted."""

CAPACITY_POLICIES: Registry[CapacityPolicy] = Registry("capacity policy")
KIND_POLICIES: Registry[KindPolicy] = Registry("kind policy")


@CAPACITY_POLICIES.register("standing")
def _standing(wanted_slots: float, busy_slots: float, slots: int) -> int | None:
    """Order nothing."""
    return None


@CAPACITY_POLICIES.register("utilisation")
def _utilisation(wanted_slots: float, busy_slots: float, slots: int) -> int | None:
    """Hold the mean share of busy slots."""
    return math.ceil(busy_slots / (slots * UTILISATION)) if busy_slots else None


@CAPACITY_POLICIES.register("forecast")
def _forecast(wanted_slots: float, busy_slots: float, slots: int) -> int | None:
    """Let each trainer's next step begin whole, with engines to spare for faults."""
    return math.ceil(wanted_slots * FAULT_SPARE / slots) if wanted_slots else None


@KIND_POLICIES.register("none")
def _none(wanted: int, kept: int) -> int:
    """Have no engine that may be taken away."""
    return 0


@KIND_POLICIES.register("added")
def _added(wanted: int, kept: int) -> int:
    """Keep what stands; what is added to it may be taken away."""
    return max(0, wanted - kept)
