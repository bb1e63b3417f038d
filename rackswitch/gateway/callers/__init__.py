"""Handling of callers' requests: HTTP, admission, choice of targets, retries and streams."""
