"""Measures how late the event loop runs timers."""

import asyncio

from rackswitch.gateway.context import GatewayContext
from rackswitch.telemetry.events import LoopDelayMeasured

__all__ = ["run_loop_delay_probe"]

PROBE_INTERVAL_SECONDS = 0.2
LOG_INTERVAL_SECONDS = 10.0


async def run_loop_delay_probe(context: GatewayContext) -> None:
    """Record delays in `context.loop_delays` until cancelled.

    They are logged at an interval, and whenever the daemon becomes overloaded or is no longer.
    """
    delays = context.loop_delays
    next_log_seconds = context.now_seconds() + LOG_INTERVAL_SECONDS
    was_overloaded = False
    while True:
        due_seconds = context.now_seconds() + PROBE_INTERVAL_SECONDS
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        now_seconds = context.now_seconds()
        delays.record(due_seconds, now_seconds)
        is_overloaded = delays.is_overloaded
        if now_seconds >= next_log_seconds or is_overloaded != was_overloaded:
            next_log_seconds = now_seconds + LOG_INTERVAL_SECONDS
            was_overloaded = is_overloaded
            context.log.write(
                LoopDelayMeasured(
                    median_seconds=round(delays.median_seconds, 4),
                    max_seconds=round(delays.max_seconds, 4),
                    is_overloaded=is_overloaded,
                )
            )
