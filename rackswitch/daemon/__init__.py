"""The daemon: connects the logic of the other subpackages to the network and the store."""
