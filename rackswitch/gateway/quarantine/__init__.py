"""Quarantine of requests under which targets end."""
