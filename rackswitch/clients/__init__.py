"""Clients of outside systems, one narrow module each; the decisions import none of them."""
