"""Edges to the outside: HTTP, gRPC, the platform and the engines."""
