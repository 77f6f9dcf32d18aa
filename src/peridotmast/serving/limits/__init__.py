"""Limits of upstreams that all routers together must keep."""
