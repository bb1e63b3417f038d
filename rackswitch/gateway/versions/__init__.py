"""Versions of weights: orders to engines, by one holder at a time."""
