"""Calls to the operators' API, made by one daemon at a time: usage reports and engine orders."""
