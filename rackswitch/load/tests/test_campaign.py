"""A short campaign with a fixed seed; `make campaign` runs long ones."""

import asyncio

import pytest

from rackswitch.demo.fleet import ASSOCIATION, REGISTER
from rackswitch.load.campaign import FAULTS, Campaign
from rackswitch.registry import UnknownNameError

TIMEOUT_SECONDS = 120.0


@pytest.mark.parametrize(("profile", "seed"), [(ASSOCIATION, 4), (REGISTER, 5)])
def test_nothing_that_must_hold_is_violated(profile, seed):
    report = asyncio.run(asyncio.wait_for(Campaign(profile, seed).run(8.0), TIMEOUT_SECONDS))
    assert report.violations == []
    assert sum(report.faults.values()) >= 2
    assert report.completed > 0
    assert report.steps > 0


def test_unknown_fault_names_the_known_ones():
    with pytest.raises(UnknownNameError, match="kv outage"):
        FAULTS.get("earthquake")
