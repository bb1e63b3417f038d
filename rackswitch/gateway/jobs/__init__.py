"""Batch jobs: submission, storage, reads, hand-over between daemons, and deletion."""
