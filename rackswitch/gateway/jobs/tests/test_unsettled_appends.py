"""What an owner answers while it does not know whether its last append took effect."""

from unittest.mock import patch

from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.tests.path import play, wait_for


def test_an_owner_lists_what_others_may_have_read_before_its_append_is_settled():
    async def scenario(fleet):
        append = JobStore.append
        written = []

        async def append_unanswered(store, *segment):
            await append(store, *segment)
            written.append(segment)
            return JobNotStored("no answer", effect_unknown=True)

        with patch.object(JobStore, "append", append_unanswered):
            assert await fleet.submit("d0", "j1", [2]) == 202
            await wait_for(lambda: written)
            page = await fleet.read("d0", "j1", 0)
        assert (page.status, len(page.results)) == (200, 1)

    play(scenario)
