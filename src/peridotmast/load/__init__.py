"""Load generation, fault injection, checks of the guarantees, reports."""
