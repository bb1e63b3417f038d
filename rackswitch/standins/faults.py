"""Faults that tests inject into a stand-in."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from blacksheep import Application, Request, Response

from rackswitch.web.handlers import BodyFault, json_response, read_json
from rackswitch.web.problems import problem_response

__all__ = ["FaultGate", "FaultOrder", "FaultyApplication"]

FAULT_PATH = "/faults"
MAX_ORDER_BYTES = 10_000


class FaultOrder(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that a stand-in shows from now on.

    Attributes
    ----------
    mode : str
        ``ok``, ``freeze`` (no answers until the mode changes), ``refuse`` (503),
        ``cut_before`` (drops the connection without handling the call) or ``cut_after``
        (handles the call, then drops the connection without answering).
    share : float
        Share of calls to which `mode` applies.
    slow_seconds : float
        Delay added to each call.
    """

    mode: str = "ok"
    share: float = 1.0
    slow_seconds: float = 0.0


class FaultGate:
    """Holds the current fault order and applies it to each call."""

    __slots__ = ("_changed", "_rng", "order")

    def __init__(self, seed: int):
        self.order = FaultOrder()
        self._rng = random.Random(seed)
        self._changed = asyncio.Event()

    def set(self, order: FaultOrder) -> None:
        """Change the order and release frozen calls."""
        self.order = order
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_and_choose_mode(self) -> str:
        """Apply the ordered delay or freeze; return the fault mode for this call."""
        if self.order.slow_seconds > 0:
            await asyncio.sleep(self.order.slow_seconds)
        while self.order.mode == "freeze":
            await self._changed.wait()
        if self.order.mode == "ok" or self._rng.random() >= self.order.share:
            return "ok"
        return self.order.mode


class FaultyApplication:
    """Adds a fault gate, and the path that configures it, to an ASGI application.

    Parameters
    ----------
    application : Application
        Handlers of the stand-in.
    gate : FaultGate
        Holds the fault order.
    """

    __slots__ = ("_application", "_gate")

    def __init__(self, application: Application, gate: FaultGate):
        self._application = application
        self._gate = gate

        async def set_faults(request: Request) -> Response:
            order = await read_json(request, FaultOrder, MAX_ORDER_BYTES)
            if isinstance(order, BodyFault):
                return problem_response(order.problem)
            gate.set(order)
            return json_response(order)

        application.router.add_post(FAULT_PATH, set_faults)

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Serve one ASGI call with the current fault."""
        if scope["type"] != "http" or scope["path"] == FAULT_PATH:
            await self._application(scope, receive, send)
            return
        mode = await self._gate.wait_and_choose_mode()
        if mode == "refuse":
            headers = [(b"rackswitch-ran", b"no"), (b"content-length", b"0")]
            await send({"type": "http.response.start", "status": 503, "headers": headers})
            await send({"type": "http.response.body", "body": b""})
            return
        if mode == "cut_after":
            await self._application(scope, receive, _discard_message)
        if mode in ("cut_after", "cut_before"):
            await _drop_connection(send)
            return
        await self._application(scope, receive, send)


async def _discard_message(message: Any) -> None:
    """Discard an ASGI message."""


async def _drop_connection(send: Callable[[Any], Awaitable[None]]) -> None:
    """Close the connection by ending the response before its declared length."""
    headers = [(b"content-length", b"1000000")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"", "more_body": False})
