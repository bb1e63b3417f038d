"""How many runs an owner sends to an engine before the engine reports its load again.

Owners in several regions submit at the same moment and see the same free slots in the last report.
If each used all of them, an engine would get several times the runs that it has slots for, while
the answers to the first few runs already state what the other owners have sent.
"""

__all__ = ["UNREPORTED_SHARE", "startable_before_report"]

UNREPORTED_SHARE = 0.25
"""Share of an engine's slots that one owner may fill without a report, at least one. In simulated
loads of four owners with 176 items for 108 slots (`benchmarks/bench_regions.py`) the steps took
7.1 s on average; they took 7.4 s with a third, and 7.8 s without this limit."""


def startable_before_report(free_slots: int, slots: int, unanswered_runs: int) -> int:
    """Return how many runs may be sent to an engine now.

    Parameters
    ----------
    free_slots : int
        Free slots by the engine's last report.
    slots : int
        All its slots.
    unanswered_runs : int
        This owner's runs that were sent after that report and have not begun.
    """
    max_unanswered_runs = max(1, int(slots * UNREPORTED_SHARE))
    return min(free_slots, max(0, max_unanswered_runs - unanswered_runs))
