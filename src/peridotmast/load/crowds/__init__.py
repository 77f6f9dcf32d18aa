"""Crowds of clients that do not behave, against a router process."""
