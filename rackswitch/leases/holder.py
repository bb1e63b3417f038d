"""Encoding of a key's holder and lease in the key's value."""

__all__ = ["decode_holder", "encode_holder"]


def encode_holder(daemon: str, lease_id: int) -> bytes:
    """Return the value that names a holder and its lease.

    The lease's number makes the value unique, so that a daemon recognizes its own unanswered
    write, and lets the daemon's next process revoke the lease.
    """
    return f"{daemon} {lease_id}".encode()


def decode_holder(value: bytes) -> tuple[str, int]:
    """Return the holder and its lease; lease 0 if the value names none."""
    daemon, _, lease_id = value.decode().partition(" ")
    return daemon, int(lease_id) if lease_id.isdigit() else 0
