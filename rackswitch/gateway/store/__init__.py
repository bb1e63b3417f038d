"""The key-value service: paths to it, this daemon's leases, and replicas of its entries."""
