"""A fleet embedded in one process, for the quickstart, tests and load."""
