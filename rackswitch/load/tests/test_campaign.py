"""Guards against violations in a short seeded campaign; `make campaign` runs longer ones."""

import asyncio

import pytest

from rackswitch.demo.fleet import ASSOCIATION, REGISTER
from rackswitch.load.campaign import FAULTS, Campaign
from rackswitch.registry import UnknownNameError

TIMEOUT_SECONDS = 120.0


@pytest.mark.parametrize(("profile", "seed"), [(ASSOCIATION, 4), (REGISTER, 5)])
def test_campaign_has_no_violations(profile, seed):
    report = asyncio.run(asyncio.wait_for(Campaign(profile, seed).run(8.0), TIMEOUT_SECONDS))
    assert report.violations == []
    assert sum(report.faults.values()) >= 2
    assert report.completed > 0
    assert report.steps > 0


def test_unknown_fault_lists_known_faults():
    with pytest.raises(UnknownNameError, match="kv outage"):
        FAULTS.get("earthquake")
