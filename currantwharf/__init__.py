"""A query tier over many shards that meets a target for each class of work."""

__version__ = "0.1.0"
