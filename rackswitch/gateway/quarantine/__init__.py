"""Holding back requests that end the targets that run them."""
