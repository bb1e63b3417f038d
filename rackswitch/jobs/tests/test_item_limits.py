import pytest

from rackswitch.jobs.item_limits import (
    DEFAULT_MAX_ITEMS,
    IDLE_MEMORY_MB,
    ITEMS_PER_PROCESSOR,
    LINK_SHARE_FOR_ITEMS,
    MBPS_PER_ITEM,
    item_limit,
)
from rackswitch.membership import VmCapacity


@pytest.mark.parametrize("share", [0.0, 0.516, 2.15])
def test_without_memory_and_link_the_processor_share_decides(share):
    """Guards against changed limits in deployments that state neither."""
    limit = item_limit(VmCapacity(share))
    assert limit.max_items == (share * ITEMS_PER_PROCESSOR or DEFAULT_MAX_ITEMS)
    assert limit.resource == "processor"


def test_the_scarcest_resource_decides():
    assert item_limit(VmCapacity(2.15, 552.0, 30.0)).resource == "link"
    assert item_limit(VmCapacity(2.15, 80.0, 200.0)).resource == "memory"
    assert item_limit(VmCapacity(0.1, 552.0, 200.0)).resource == "processor"


@pytest.mark.parametrize("link_mbps", [30.0, 100.0, 200.0])
def test_items_fit_in_their_share_of_the_link(link_mbps):
    limit = item_limit(VmCapacity(10.0, 0.0, link_mbps))
    assert limit.max_items * MBPS_PER_ITEM == pytest.approx(link_mbps * LINK_SHARE_FOR_ITEMS)


def test_a_vm_without_memory_to_spare_carries_no_items():
    """Guards against a negative limit."""
    assert item_limit(VmCapacity(1.0, IDLE_MEMORY_MB - 10.0)).max_items == 0.0
