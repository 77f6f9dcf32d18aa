"""Attempts to have a request answered by an upstream or a peer."""
