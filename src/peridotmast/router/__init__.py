"""The router process: its components, its start and its stop."""
