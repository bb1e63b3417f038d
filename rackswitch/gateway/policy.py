"""Which mechanisms of the gateway are switched on."""

from pathlib import Path

from rackswitch.capacity import CAPACITY_POLICIES, KIND_POLICIES
from rackswitch.settings import Settings, SettingsFault, load_settings

__all__ = ["POLICY_FILE", "PolicySettings", "read_policy"]

POLICY_FILE = "deploy/policy.json"
"""The project's own settings of a gateway, relative to the folder where it is started."""


class PolicySettings(Settings, frozen=True, kw_only=True):
    """Switches, one for each mechanism, so that each can be measured by leaving it out.

    Attributes
    ----------
    calls_through_peers : bool
        Whether a daemon that cannot reach the key-value service asks peers to pass its calls on.
    texts_kept : bool
        Whether the unfinished long texts of a job are kept for the owner's successor.
    jobs_gathered : bool
        Whether a job that comes to a zone goes to a daemon there that owns jobs already.
    jobs_handed_over : bool
        Whether a stopping owner gives its jobs to their next owner by a call, and owners come back
        from an outage of the key-value service in one write.
    paces_told : bool
        Whether daemons tell each other how fast engines are.
    loads_asked : bool
        Whether the owner of a new job asks the engines how full they are.
    fast_engine_first : bool
        Whether the first engine that loads a version is one of the fast ones.
    engines_wanted : str
        How many engines a service should have, by name (`rackswitch.capacity.policies`).
    engine_kinds : str
        How many of them may be ones that the platform takes away, by name.
    runs_move : bool
        Whether a run goes on at a faster engine if that gains time.
    longest_first : bool
        Whether items start by when they must start; by their order in the job otherwise.
    steps_by_slack : bool
        Whether items start by slack and rank over all steps, those last that no trainer waits for.
        This and all that follow count only for services that are placed by load
        (`GatewayContext.places_by_load`).
    room_shared : bool
        Whether an engine's room is what other daemons' runs leave of it.
    memory_counted : bool
        Whether no run is sent where an engine's memory would run out.
    urgency_told : bool
        Whether engines are told how urgent runs are, by slack and rank. Engines that displace
        running texts by more urgent ones then read many anew, and texts stand still meanwhile.
    runs_leave : bool
        Whether runs go on elsewhere before an engine that leaves is gone.
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
    """Read and check the switches; the defaults hold if there is no such file.

    Parameters
    ----------
    path : str, optional
        A JSON file with comments.

    Returns
    -------
    PolicySettings or SettingsFault
        The switches, or one line with file, field and what is wrong.
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
            known = ", ".join(registry.names())
            return SettingsFault(f"{path}: `$.{field}` {name!r} is none of {known}")
    return policy
