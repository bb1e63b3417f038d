"""How many open items a daemon can carry, by the limits of its VM."""

from dataclasses import dataclass

from rackswitch.membership import VmCapacity

__all__ = ["ItemLimit", "item_limit"]

ITEMS_PER_PROCESSOR = 1200.0
"""Maximum number of open items per processor of a daemon's VM."""

DEFAULT_MAX_ITEMS = 600.0
"""Maximum number of open items of a daemon that reports no processor share: that of half a
processor."""

PIECES_PER_SECOND = 25.0
"""Pieces that an engine generates for one text."""

STREAMED_BYTES_PER_PIECE = 300.0
"""Bytes of one piece on the link from the engine: an event of 100 to 300 bytes with its HTTP chunk
and TCP headers. The upper end, as each piece may be a packet of its own."""

TEXT_BYTES_PER_PIECE = 100.0
"""Bytes of a piece's text, which is in the result and in checkpoints."""

TEXT_COPIES = 3.0
"""How often a text leaves the daemon, in bytes of the text: its result goes to the key-value
service (4/3, as base64) and to the reader (1); checkpoints, compressed, and relayed changes take
the rest."""

MBPS_PER_ITEM = (
    PIECES_PER_SECOND * (STREAMED_BYTES_PER_PIECE + TEXT_COPIES * TEXT_BYTES_PER_PIECE) * 8 / 1e6
)
"""Link bandwidth of one open item that runs: 25 * (300 + 3 * 100) bytes/s = 0.12 Mbit/s. Both
directions are added up, as the limit of a VM may apply to their sum. Items that wait for an engine
use none, so the figure is an upper bound."""

LINK_SHARE_FOR_ITEMS = 0.5
"""Share of the link that open items may use. The rest is for callers' requests, replicated changes
and jobs that are handed over."""

IDLE_MEMORY_MB = 50.0
"""Memory of a daemon without load."""

MEMORY_MB_PER_ITEM = 0.25
"""Memory of one open item: 84 kB for an item with a body of 4 kB and 500 pieces of 100 characters
(measured with tracemalloc), 51 kB for its result, as much again while that is packed, and 64 kB for
the connection with its read buffer."""

MEMORY_SHARE_FOR_ITEMS = 0.5
"""Share of the memory above `IDLE_MEMORY_MB` that open items may use. The rest is for callers'
requests, replicas and memory that the allocator does not return."""


@dataclass(frozen=True, slots=True)
class ItemLimit:
    """Maximum number of open items of a daemon, and the resource that sets it.

    Attributes
    ----------
    resource : str
        "processor", "link" or "memory".
    """

    max_items: float
    resource: str


def item_limit(capacity: VmCapacity) -> ItemLimit:
    """Return how many open items a VM can carry: the smallest of the limits that are known."""
    limits = [ItemLimit(_max_items_by_processor(capacity), "processor")]
    if capacity.link_mbps > 0:
        limits.append(ItemLimit(capacity.link_mbps * LINK_SHARE_FOR_ITEMS / MBPS_PER_ITEM, "link"))
    if capacity.memory_mb > 0:
        spare_mb = max(0.0, capacity.memory_mb - IDLE_MEMORY_MB)
        max_items = spare_mb * MEMORY_SHARE_FOR_ITEMS / MEMORY_MB_PER_ITEM
        limits.append(ItemLimit(max_items, "memory"))
    return min(limits, key=lambda limit: limit.max_items)


def _max_items_by_processor(capacity: VmCapacity) -> float:
    if not capacity.processor_share:
        return DEFAULT_MAX_ITEMS
    return capacity.processor_share * ITEMS_PER_PROCESSOR
