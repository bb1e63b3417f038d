"""Guards against undetected failures, and against live daemons that are declared dead."""

import random

from rackswitch.membership import Membership, MemberState, MemberUpdate, VmEntry

PERIOD_SECONDS = 1.0


class Network:
    """Exchanges heartbeats between views; links can be cut in one direction."""

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        names = [f"d{n}" for n in range(count)]
        entries = [VmEntry(name, "h", 1, "z", False) for name in names]
        self.views = {}
        self.dead = set()
        self.cut = set()
        self.now_seconds = 0.0
        for name in names:
            own = MemberUpdate(name, "h", 1, "z", 1, MemberState.ALIVE)
            view = Membership(own, PERIOD_SECONDS, random.Random(f"{seed}{name}"))
            view.update_from_vm_list(entries, 0.0)
            self.views[name] = view

    def reaches(self, source, target):
        alive = source not in self.dead and target not in self.dead
        return alive and (source, target) not in self.cut

    def exchange(self, source, target):
        """Send a heartbeat; return whether its answer arrived."""
        if not self.reaches(source, target):
            return False
        for update in self.views[source].updates_to_send():
            self.views[target].merge(update, self.now_seconds)
        if not self.reaches(target, source):
            return False
        for update in self.views[target].updates_to_send():
            self.views[source].merge(update, self.now_seconds)
        return True

    def period(self):
        self.now_seconds += PERIOD_SECONDS
        for name, view in self.views.items():
            if name in self.dead:
                continue
            view.tick(self.now_seconds)
            target = view.next_heartbeat_peer()
            if target is None:
                continue
            helper_answered = any(
                self.exchange(name, helper) and self.exchange(helper, target)
                for helper in view.choose_probe_helpers(target, 3)
            )
            if self.exchange(name, target) or helper_answered:
                view.record_answer(target, self.now_seconds)
            else:
                view.record_no_answer(target, self.now_seconds)

    def living(self):
        return {name for name in self.views if name not in self.dead}


def test_all_daemons_detect_a_failure_within_25_periods():
    for seed in range(5):
        network = Network(20, seed)
        network.dead.add("d3")
        for _ in range(25):
            network.period()
        for name in network.living():
            assert "d3" not in network.views[name].live()
            assert len(network.views[name].live()) == 19


def test_a_one_way_cut_lets_no_daemon_be_declared_dead():
    network = Network(9, 1)
    network.cut = {("d1", "d2"), ("d4", "d5")}
    for _ in range(120):
        network.period()
        assert all(len(view.live()) == 9 for view in network.views.values())


def test_a_daemon_is_live_again_once_its_links_are_restored():
    network = Network(9, 2)
    network.cut = {pair for n in range(9) if n != 3 for pair in ((f"d{n}", "d3"), ("d3", f"d{n}"))}
    for _ in range(30):
        network.period()
    assert "d3" not in network.views["d0"].live()
    network.cut = set()
    entries = [VmEntry(f"d{n}", "h", 1, "z", False) for n in range(9)]
    for _ in range(90):
        network.period()
        for view in network.views.values():
            view.update_from_vm_list(entries, network.now_seconds)
    assert all(len(view.live()) == 9 for view in network.views.values())


def test_a_leaving_daemon_is_not_live_although_it_answers():
    network = Network(9, 3)
    network.views["d2"].leave()
    for _ in range(20):
        network.period()
    assert all("d2" not in view.live() for view in network.views.values())


def test_message_size_does_not_grow_with_the_fleet():
    sizes = []
    for count in (9, 100, 330):
        view = Network(count, 4).views["d0"]
        for name in list(view.members)[: count // 2]:
            view.record_no_answer(name, 1.0)
        sizes.append(len(view.updates_to_send()))
    assert max(sizes) <= 6


def test_a_new_vm_of_the_same_name_is_not_treated_as_leaving():
    network = Network(5, 5)
    view = network.views["d1"]
    outdated_entries = [VmEntry(f"d{n}", "h", 1, "z", n == 1) for n in range(5)]
    view.listed_live = False
    for other in network.views.values():
        other.update_from_vm_list(outdated_entries, 0.0)
    assert view.own.state == MemberState.ALIVE
    for _ in range(20):
        network.period()
    assert all("d1" in other.live() for other in network.views.values())


def test_a_daemon_is_leaving_once_its_vm_is_listed_as_leaving():
    view = Network(3, 6).views["d0"]
    view.update_from_vm_list([VmEntry("d0", "h", 1, "z", True)], 1.0)
    assert view.own.state == MemberState.LEAVING
    assert "d0" not in view.live()


def test_a_leaving_daemon_that_is_listed_again_is_live():
    own = MemberUpdate("a", "h", 1, "z", 0, MemberState.ALIVE)
    members = Membership(own, 1.0, random.Random(1))
    live_entry = VmEntry("b", "h", 2, "z", leaving=False)
    members.update_from_complete_list([live_entry], 0.0)
    assert members.live() == ["a", "b"]
    members.update_from_complete_list([VmEntry("b", "h", 2, "z", leaving=True)], 1.0)
    assert members.live() == ["a"]
    assert members.is_leaving("b")
    # The list may show the entry of the next process without a gap.
    members.update_from_complete_list([live_entry], 2.0)
    assert members.live() == ["a", "b"]
    assert not members.is_leaving("b")
