"""Refusals after which callers do not retry, while the table may be outdated."""

import pytest

from rackswitch.gateway.tests.path import run_scenario, wait_for
from rackswitch.table import TableConfirmation

LARGE_BODY = b"x" * 200_001
LARGE_HEADERS = {"X-Padding": "x" * 5000}
REFUSED = [
    ("/nowhere", b"", {}, 404),
    ("/rackswitch-unknown/x", b"", {}, 404),
    ("/lodge/1", LARGE_BODY, {}, 413),
    ("/lodge/1", b"", LARGE_HEADERS, 431),
]


class NeverConfirmed(TableConfirmation):
    """Confirmation of a daemon that has read a table but got no confirmation of it."""

    def record(self, revision, at_seconds):
        pass


@pytest.mark.parametrize(("path", "body", "headers", "status"), REFUSED)
def test_a_refusal_is_final_only_by_a_confirmed_table(path, body, headers, status):
    # Guards against final refusals of callers whose route or limit a restarted daemon lacks yet.
    async def scenario(fleet):
        async def answer():
            found, answer_headers, _ = await fleet.request("d0", "POST", path, body, "r1", headers)
            return found, answer_headers

        assert (await answer())[0] == status
        fleet.gateways["d0"].context.table_confirmation = NeverConfirmed()
        found, answer_headers = await answer()
        assert found == 503
        assert 0 < float(answer_headers["Retry-After"]) <= 1.0
        assert not any(target.runs for target in (*fleet.services, *fleet.engines))

    run_scenario(scenario)


def test_an_unknown_route_is_refused_with_503_while_the_store_is_unreachable():
    # Guards against 404 for routes that were added where this daemon cannot see them.
    async def scenario(fleet):
        fleet.store.faults.down = "busy"
        await wait_for(lambda: fleet.gateways["d0"].context.store_reachability.is_unreachable)
        assert (await fleet.request("d0", "GET", "/nowhere"))[0] == 503
        assert (await fleet.request("d0", "GET", "/look/x"))[0] == 200

    run_scenario(scenario)
