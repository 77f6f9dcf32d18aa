"""What a router does while the capacity of an engine service is short."""
