"""The demo: a small site on loopback, with faults."""
