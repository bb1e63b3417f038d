"""The key-value service: the ways to it, this daemon's session, and copies of its entries."""
