"""A host on a platform: callers, backend servers, peers, start and stop."""
