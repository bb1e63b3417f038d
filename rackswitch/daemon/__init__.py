"""The daemon: the decisions of the other subpackages, joined to the outside."""
