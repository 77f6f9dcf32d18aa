"""Load, faults, oracle and reports: how the promises are measured."""
