"""The users' platform: its settings, its store and its wire, translated."""
