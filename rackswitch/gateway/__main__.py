"""Entry point of ``python3 -m rackswitch.gateway``."""

import gc
import os
import signal

# The gateway does not use TLS; this keeps the HTTP library from loading the system's certificates
# on import, which took 147 ms of processor time of each start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)
# Until a handler is installed, SIGHUP would end the process. It may be ignored here, because the
# settings file is read again as soon as the daemon has started.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Imported objects are never freed, so garbage collection during the imports is wasted.
gc.disable()

from rackswitch.gateway.early_start import start_early  # noqa: E402


def main() -> None:
    """Listen, then import and run the daemon."""
    early_start = start_early()
    # Imported only now, since these imports take most of the time of a start.
    with early_start.reading_callers():
        from rackswitch.gateway.main import main as run_daemon

    gc.freeze()
    gc.enable()
    run_daemon(early_start)


if __name__ == "__main__":
    main()
