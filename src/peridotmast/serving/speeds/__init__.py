"""Speeds of the upstreams of a service, relative to each other."""
