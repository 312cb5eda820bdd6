"""A service: a set of shards, each held by some backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Service:
    """Map each shard of a service to the backend servers that hold a replica."""

    shards: dict[str, tuple[str, ...]]
