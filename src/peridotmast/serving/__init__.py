"""The request path: admission, placement, attempts and responses."""
