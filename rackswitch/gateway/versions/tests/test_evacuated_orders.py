"""Load orders and report requests to engines whose zone is evacuated."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.gateway.versions import order_sender
from rackswitch.gateway.versions.order_sender import OrderSender, PlannedLoad
from rackswitch.platform.orders import EngineReport, OrderAnswer
from rackswitch.routing import ListedTarget
from rackswitch.standins.kv_store import KvStore
from rackswitch.weights import LoadOrder


class Engines:
    """Accepts every order; runs `before[call]` when a call arrives."""

    def __init__(self):
        self.calls: list[str] = []
        self.before: dict[str, object] = {}

    def _record(self, call: str) -> None:
        self.calls.append(call)
        self.before.get(call, lambda: None)()

    async def report(self, target):
        self._record("report")
        return EngineReport({"m": 1}, True, 0, 0, 0, 0, 0)

    async def order_version(self, target, order):
        self._record("order")
        return OrderAnswer.ACCEPTED


class AlwaysTurn:
    def fencing_to_send(self, turn, entered_at_seconds):
        return 1


@pytest.mark.parametrize(
    ("evacuated_at", "calls"),
    [("start", []), ("report", ["report"]), ("order", ["report", "order"])],
)
def test_an_engine_gets_no_order_and_no_report_request_after_its_zone_was_evacuated(
    evacuated_at, calls
):
    """The zone may be evacuated after the planning, after the report, or during the load."""

    async def scenario():
        context = make_gateway_context("a", KvStore())
        target = ListedTarget("e", "s", "h", 1, "z", 4, False, {"m": 1})
        context.directory.put(target)
        engines = Engines()

        def evacuate():
            context.directory.eligibility.evacuate("z", 1, context.now_seconds())

        engines.before[evacuated_at] = evacuate
        if evacuated_at == "start":
            evacuate()
        sender = OrderSender(context, engines, AlwaysTurn())
        deadline_seconds = context.now_seconds() + order_sender.LOAD_TIMEOUT_SECONDS
        planned = PlannedLoad("s", "m", target, LoadOrder("e", 2, deadline_seconds))
        assert not await sender.load(planned, context.now_seconds())
        assert engines.calls == calls
        await asyncio.sleep(0)

    run_on_virtual_clock(scenario())
