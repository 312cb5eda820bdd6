"""Adapters to the users' platform: its settings, its store and its wire format."""
