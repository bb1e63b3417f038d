"""Opens listening sockets.

This module imports only `socket`, so that a starting process can listen before it imports a server.
"""

import socket

__all__ = ["BACKLOG", "open_listening_socket"]

BACKLOG = 2048
"""Maximum number of connections that wait to be accepted."""


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a non-blocking socket that listens on an address; port 0 selects a free port.

    Raises
    ------
    OSError
        If listening on the address fails.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket
