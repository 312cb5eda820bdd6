"""HTTP interfaces to callers, peers, operators, the platform and backend servers."""
