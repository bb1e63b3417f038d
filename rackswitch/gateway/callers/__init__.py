"""Callers' requests: from the socket to a target and back."""
