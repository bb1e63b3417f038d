"""Placeholder program for a VM with a disk, which rackswitch does not use.

The platform requires a process there. It only waits to be stopped.
"""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Wait for a stop signal."""
    stop_signals = {signal.SIGTERM, signal.SIGINT}
    signal.pthread_sigmask(signal.SIG_BLOCK, stop_signals | {signal.SIGHUP})
    print('{"event":"started"}', flush=True)
    while signal.sigwait(stop_signals | {signal.SIGHUP}) not in stop_signals:
        print('{"event":"reloaded"}', flush=True)
    print('{"event":"stopped"}', flush=True)
    sys.exit(0)


if __name__ == "__main__":
    main()
