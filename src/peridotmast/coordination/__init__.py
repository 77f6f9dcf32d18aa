"""Coordination of routers: membership, beacons, leases, configuration."""
