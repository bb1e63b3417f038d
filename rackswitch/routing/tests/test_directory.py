from rackswitch.routing import ListedTarget, TargetDirectory
from rackswitch.routing.directory import LAPSE_GRACE_SECONDS

NEVER_UNREACHABLE = float("-inf")


def target(name: str, **fields) -> ListedTarget:
    return ListedTarget(name, "s", "10.0.0.1", 80, "z", **fields)


def names(directory: TargetDirectory, now_seconds: float) -> list[str]:
    return [entry.instance for entry in directory.usable("s", now_seconds)]


def test_removed_entry_makes_the_target_unusable():
    directory = TargetDirectory()
    directory.put(target("a"))
    directory.remove("a", 10.0, NEVER_UNREACHABLE)
    assert names(directory, 10.0) == []


def test_draining_target_is_not_usable():
    directory = TargetDirectory()
    directory.put(target("a"))
    directory.put(target("a", draining=True))
    assert names(directory, 0.0) == []


def test_entries_that_expire_in_an_outage_stay_usable_for_a_grace_period():
    directory = TargetDirectory()
    directory.put(target("a"))
    directory.put(target("b"))
    for name in ("a", "b"):
        directory.remove(name, 10.2, service_reachable_seconds=10.0)
    assert names(directory, 10.5) == ["a", "b"]
    directory.put(target("a"))
    assert names(directory, 10.0 + LAPSE_GRACE_SECONDS) == ["a"]


def test_disowned_target_is_removed():
    directory = TargetDirectory()
    directory.put(target("a"))
    directory.remove_replaced("a")
    assert names(directory, 0.0) == []
