"""``python3 -m rackswitch.gateway``."""

import gc
import os
import signal

# A gateway speaks no TLS, and the HTTP library reads the system's certificates when it is loaded:
# 147 ms of the 1.15 s of processor time that a start takes (`python3 -X importtime`).
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)
# The settings are read once all is loaded: an order to read them again is met by then, and until
# somebody takes it the system would end the program for it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# What is loaded stays, so looking for garbage among it is in vain until all is there.
gc.disable()

from rackswitch.gateway.main import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
