"""A service in the published configuration: a set of replicated shards."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Service:
    """Names of the backend servers that hold a replica of each shard."""

    shards: dict[str, tuple[str, ...]]
