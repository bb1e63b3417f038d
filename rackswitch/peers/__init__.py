"""Messages and calls between daemons; the generated modules are committed.

To generate them again: ``python -m grpc_tools.protoc`` with the `grpclib`
plugin on ``peers.proto`` (see CONTRIBUTING.md).
"""
