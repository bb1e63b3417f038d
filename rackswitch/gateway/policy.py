"""Switches of the gateway's mechanisms."""

from pathlib import Path

from rackswitch.capacity import CAPACITY_POLICIES, KIND_POLICIES
from rackswitch.settings import Settings, SettingsFault, load_settings

__all__ = ["POLICY_FILE", "PolicySettings", "read_policy"]

POLICY_FILE = "deploy/policy.json"
"""Path of the switches' file, relative to the working directory."""


class PolicySettings(Settings, frozen=True, kw_only=True):
    """One switch per mechanism, so that the effect of each can be measured.

    Attributes
    ----------
    calls_through_peers : bool
        Whether a daemon that cannot reach the key-value service sends its calls through peers.
    texts_kept : bool
        Whether checkpoints of a job's unfinished long texts are stored for the next owner.
    jobs_gathered : bool
        Whether a new job goes to a daemon of its zone that already owns jobs.
    jobs_handed_over : bool
        Whether a stopping owner hands its jobs over to the next owner by a call, and owners reclaim
        each job in one write after an outage of the key-value service.
    paces_told : bool
        Whether daemons report the paces of engines to each other.
    loads_asked : bool
        Whether the owner of a new job polls the engines for their load.
    fast_engine_first : bool
        Whether a fast engine is the first to load a new version.
    engines_wanted : str
        Name of the policy for the number of engines (`rackswitch.capacity.policies`).
    engine_kinds : str
        Name of the policy for the number of reclaimable engines.
    runs_move : bool
        Whether a run moves to a faster engine if that saves time.
    longest_first : bool
        Whether items start by their latest start time; otherwise by their order in the job.
    steps_by_slack : bool
        Whether items start by slack and rank over all steps; those that no trainer waits for start
        last. This and the following switches apply only to services whose targets are chosen by
        load (`GatewayContext.chooses_targets_by_load`).
    room_shared : bool
        Whether other daemons' runs are subtracted from an engine's free slots.
    memory_counted : bool
        Whether a run is sent to an engine only if its memory suffices.
    urgency_told : bool
        Whether runs are sent with their urgency, by slack and rank. Engines then preempt runs for
        more urgent ones, and a preempted run has to read its text again.
    runs_leave : bool
        Whether runs move away from a draining engine before it ends.
    """

    calls_through_peers: bool = True
    texts_kept: bool = True
    jobs_gathered: bool = True
    jobs_handed_over: bool = True
    paces_told: bool = True
    loads_asked: bool = True
    fast_engine_first: bool = True
    engines_wanted: str = "forecast"
    engine_kinds: str = "added"
    runs_move: bool = True
    longest_first: bool = True
    steps_by_slack: bool = True
    room_shared: bool = True
    memory_counted: bool = True
    urgency_told: bool = False
    runs_leave: bool = True


def read_policy(path: str = POLICY_FILE) -> PolicySettings | SettingsFault:
    """Read and check the switches; without a file the defaults apply.

    Parameters
    ----------
    path : str, optional
        A JSON file with comments.

    Returns
    -------
    PolicySettings or SettingsFault
        The switches, or a one-line error with the file and field.
    """
    if not Path(path).exists():
        return PolicySettings()
    policy = load_settings(path, PolicySettings)
    if isinstance(policy, SettingsFault):
        return policy
    for field, registry in (
        ("engines_wanted", CAPACITY_POLICIES),
        ("engine_kinds", KIND_POLICIES),
    ):
        name = getattr(policy, field)
        if name not in registry:
            known_names = ", ".join(registry.names())
            return SettingsFault(f"{path}: `$.{field}` {name!r} is not one of {known_names}")
    return policy
