"""Plans how many engines a service has, of which kind and in which availability zones."""

from rackswitch.capacity.demand import JobLoad, wanted_slots
from rackswitch.capacity.engines import Capacity, EngineCounts, EngineKind, EngineLocation
from rackswitch.capacity.planner import CapacityPlanner, EngineOrder, ServiceState
from rackswitch.capacity.policies import CAPACITY_POLICIES, KIND_POLICIES

__all__ = [
    "CAPACITY_POLICIES",
    "KIND_POLICIES",
    "Capacity",
    "CapacityPlanner",
    "EngineCounts",
    "EngineKind",
    "EngineLocation",
    "EngineOrder",
    "JobLoad",
    "ServiceState",
    "wanted_slots",
]
