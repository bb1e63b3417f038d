"""Messages and calls between daemons; the generated modules are committed.

To regenerate them, run ``python -m grpc_tools.protoc`` with the `grpclib` plugin
(see CONTRIBUTING.md).
"""
