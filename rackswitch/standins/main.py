"""Command ``rackswitch-standin``: runs one stand-in as a separate process."""

import asyncio
import signal
from typing import Protocol

import fire

from rackswitch.standins.engine import EngineStandIn
from rackswitch.standins.kv import KvStandIn
from rackswitch.standins.services import (
    PlainServiceStandIn,
    ScorerStandIn,
    VmListStandIn,
    WeightStoreStandIn,
)
from rackswitch.telemetry import set_up_logs

__all__ = ["main"]


class _Startable(Protocol):
    async def start(self) -> None: ...

    async def stop(self) -> None: ...


async def _serve(stand_in: _Startable) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stand_in.start()
    await stop.wait()
    await stand_in.stop()


class StandIns:
    """Runs one stand-in until SIGTERM or SIGINT."""

    def kv(self, port: int, host: str = "127.0.0.1", seed: int = 1) -> None:
        """Serve the key-value service."""

        async def run() -> None:
            await _serve(KvStandIn(host, port, seed))

        asyncio.run(run())

    def engine(
        self,
        port: int,
        name: str,
        model: str,
        host: str = "127.0.0.1",
        tokens_per_second: float = 3000.0,
        checks_fencing: bool = True,
        store_url: str | None = None,
        seed: int = 1,
    ) -> None:
        """Serve an engine."""

        async def run() -> None:
            engine = EngineStandIn(
                name,
                model,
                host,
                port,
                tokens_per_second=tokens_per_second,
                checks_fencing=checks_fencing,
                store_url=store_url,
                seed=seed,
            )
            await _serve(engine)

        asyncio.run(run())

    def service(self, port: int, host: str = "127.0.0.1", seed: int = 1) -> None:
        """Serve a plain service."""

        async def run() -> None:
            await _serve(PlainServiceStandIn(host, port, seed))

        asyncio.run(run())

    def scorer(self, port: int, host: str = "127.0.0.1", seed: int = 1) -> None:
        """Serve a scorer."""

        async def run() -> None:
            await _serve(ScorerStandIn(host, port, seed))

        asyncio.run(run())

    def store(self, port: int, model: str, host: str = "127.0.0.1", seed: int = 1) -> None:
        """Serve the weight store with version 1 of a model published."""

        async def run() -> None:
            store = WeightStoreStandIn(host, port, seed)
            store.versions[model] = {1}
            await _serve(store)

        asyncio.run(run())

    def vm_list(self, port: int, host: str = "127.0.0.1", seed: int = 1) -> None:
        """Serve the platform's VM list."""

        async def run() -> None:
            await _serve(VmListStandIn(host, port, seed))

        asyncio.run(run())


def main() -> None:
    """Run the command line interface."""
    set_up_logs()
    fire.Fire(StandIns)
