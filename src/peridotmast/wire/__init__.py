"""HTTP client and server with strict parsing, limits and green sockets."""
