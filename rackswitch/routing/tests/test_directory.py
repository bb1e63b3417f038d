from rackswitch.routing import ListedTarget, TargetDirectory
from rackswitch.routing.directory import LAPSE_GRACE_SECONDS

NEVER_AWAY = float("-inf")


def target(name: str, **fields) -> ListedTarget:
    return ListedTarget(name, "s", "10.0.0.1", 80, "z", **fields)


def names(directory: TargetDirectory, now_seconds: float) -> list[str]:
    return [entry.instance for entry in directory.usable("s", now_seconds)]


def test_an_entry_that_goes_means_that_the_target_has_left():
    directory = TargetDirectory()
    directory.put(target("a"))
    directory.remove("a", 10.0, NEVER_AWAY)
    assert names(directory, 10.0) == []


def test_a_draining_target_gets_nothing_new():
    directory = TargetDirectory()
    directory.put(target("a"))
    directory.put(target("a", draining=True))
    assert names(directory, 0.0) == []


def test_entries_that_lapsed_with_the_service_are_used_until_they_had_time_to_come_back():
    directory = TargetDirectory()
    directory.put(target("a"))
    directory.put(target("b"))
    for name in ("a", "b"):
        directory.remove(name, 10.2, service_back_seconds=10.0)
    assert names(directory, 10.5) == ["a", "b"]
    directory.put(target("a"))
    assert names(directory, 10.0 + LAPSE_GRACE_SECONDS) == ["a"]


def test_a_target_whose_address_has_another_is_forgotten():
    directory = TargetDirectory()
    directory.put(target("a"))
    directory.disown("a")
    assert names(directory, 0.0) == []
