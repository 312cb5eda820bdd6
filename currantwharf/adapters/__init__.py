"""The outside interfaces: callers, peers, operators, the platform, backends."""
