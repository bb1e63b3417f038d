"""Clients of external systems, one module each; decision modules do not import them."""
