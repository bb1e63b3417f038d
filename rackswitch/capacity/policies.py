"""Policies for the number of engines, and for how many of them are reclaimable."""

import math
from collections.abc import Callable

from rackswitch.registry import Registry

__all__ = ["CAPACITY_POLICIES", "KIND_POLICIES", "CapacityPolicy", "KindPolicy"]

FAULT_HEADROOM = 1.2
"""Factor by which the engines exceed the load's need, for engines that are slow or fail."""

TARGET_UTILISATION = 0.35
"""Mean share of busy slots that the policy `utilisation` maintains."""

CapacityPolicy = Callable[[float, float, int], int | None]
"""Maps the slots wanted at a step's start, the mean number of busy slots and the slots of an engine
to the engines wanted; None leaves the engines as they are."""

KindPolicy = Callable[[int, int], int]
"""Maps the engines wanted and the kept ones present to the reclaimable ones wanted."""

CAPACITY_POLICIES: Registry[CapacityPolicy] = Registry("capacity policy")
KIND_POLICIES: Registry[KindPolicy] = Registry("kind policy")


@CAPACITY_POLICIES.register("standing")
def _standing(wanted_slots: float, busy_slots: float, slots: int) -> int | None:
    """Never change the engines."""
    return None


@CAPACITY_POLICIES.register("utilisation")
def _utilisation(wanted_slots: float, busy_slots: float, slots: int) -> int | None:
    """Hold the mean share of busy slots."""
    return math.ceil(busy_slots / (slots * TARGET_UTILISATION)) if busy_slots else None


@CAPACITY_POLICIES.register("forecast")
def _forecast(wanted_slots: float, busy_slots: float, slots: int) -> int | None:
    """Provide slots for each trainer's next step, with headroom for faults."""
    return math.ceil(wanted_slots * FAULT_HEADROOM / slots) if wanted_slots else None


@KIND_POLICIES.register("none")
def _none(wanted: int, kept: int) -> int:
    """Use no reclaimable engine."""
    return 0


@KIND_POLICIES.register("added")
def _added(wanted: int, kept: int) -> int:
    """Leave the kept engines and add reclaimable ones only."""
    return max(0, wanted - kept)
