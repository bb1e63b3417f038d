"""Entry point of ``python3 -m rackswitch.gateway``."""

import gc
import os
import signal

# The gateway does not use TLS; this keeps the HTTP library from loading the system's certificates
# on import, which would slow down the start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)
# Until a handler is installed, SIGHUP would end the process. It may be ignored here, because the
# settings are read only after all imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Imported objects are never freed, so garbage collection during the imports is wasted.
gc.disable()

from rackswitch.gateway.main import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
