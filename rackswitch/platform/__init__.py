"""The operator platform: its names, formats and calls, and nothing that decides.

Everything that the platform sends is decoded here, once, into types of the other
subpackages; nothing outside this folder knows a header, key, path or field of it.
"""
