"""A soak of real gateways under faults that are injected from outside."""
