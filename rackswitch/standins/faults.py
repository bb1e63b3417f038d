"""Faults that a test orders a stand-in to show."""

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
    """What a stand-in is to do wrong from now on.

    Attributes
    ----------
    mode : str
        ``ok``, ``freeze`` (answers nothing until set to another mode), ``refuse`` (503),
        ``cut_before`` (drops the connection instead of working) or ``cut_after`` (works,
        then drops the connection instead of answering).
    share : float
        Share of the calls that `mode` strikes.
    slow_seconds : float
        Added to each call.
    """

    mode: str = "ok"
    share: float = 1.0
    slow_seconds: float = 0.0


class FaultGate:
    """Holds the order in force and decides for each call."""

    __slots__ = ("_changed", "_rng", "order")

    def __init__(self, seed: int):
        self.order = FaultOrder()
        self._rng = random.Random(seed)
        self._changed = asyncio.Event()

    def set(self, order: FaultOrder) -> None:
        """Change the order; calls that are frozen go on."""
        self.order = order
        self._changed.set()
        self._changed = asyncio.Event()

    async def pass_through(self) -> str:
        """Wait as ordered and return the mode that strikes this call."""
        if self.order.slow_seconds > 0:
            await asyncio.sleep(self.order.slow_seconds)
        while self.order.mode == "freeze":
            await self._changed.wait()
        if self.order.mode == "ok" or self._rng.random() >= self.order.share:
            return "ok"
        return self.order.mode


class FaultyApplication:
    """Wraps an ASGI application with a fault gate and the path that sets it.

    Parameters
    ----------
    application : Application
        The stand-in's handlers.
    gate : FaultGate
        Where orders are kept.
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
        """Serve one ASGI call, with the fault in force."""
        if scope["type"] != "http" or scope["path"] == FAULT_PATH:
            await self._application(scope, receive, send)
            return
        mode = await self._gate.pass_through()
        if mode == "refuse":
            headers = [(b"rackswitch-ran", b"no"), (b"content-length", b"0")]
            await send({"type": "http.response.start", "status": 503, "headers": headers})
            await send({"type": "http.response.body", "body": b""})
            return
        if mode == "cut_after":
            await self._application(scope, receive, _swallow)
        if mode in ("cut_after", "cut_before"):
            await _drop_connection(send)
            return
        await self._application(scope, receive, send)


async def _swallow(message: Any) -> None:
    """Take an answer that is never sent."""


async def _drop_connection(send: Callable[[Any], Awaitable[None]]) -> None:
    """End the response short of its announced length, which closes the connection."""
    headers = [(b"content-length", b"1000000")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"", "more_body": False})
