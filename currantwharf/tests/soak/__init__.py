"""A soak test of real gateway processes under faults injected from outside."""
