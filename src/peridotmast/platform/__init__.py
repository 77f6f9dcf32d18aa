"""Clients and codecs for the platform's services and protocol."""
