"""Coordination between routers, for the programs and for embedding."""
