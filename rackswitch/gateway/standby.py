"""The program of a VM with a disk, on which rackswitch keeps nothing.

The platform wants one there. It imports as little as it can and waits to be stopped.
"""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Wait for the order to stop."""
    stops = {signal.SIGTERM, signal.SIGINT}
    signal.pthread_sigmask(signal.SIG_BLOCK, stops | {signal.SIGHUP})
    print('{"event":"started"}', flush=True)
    while signal.sigwait(stops | {signal.SIGHUP}) not in stops:
        print('{"event":"reloaded"}', flush=True)
    print('{"event":"stopped"}', flush=True)
    sys.exit(0)


if __name__ == "__main__":
    main()
