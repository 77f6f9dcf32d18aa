"""Stand-ins for the platform and the upstreams, each an HTTP server."""
