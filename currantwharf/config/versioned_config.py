"""A published configuration with the version that the platform gave it."""

from dataclasses import dataclass

from currantwharf.config.published_config import PublishedConfig


@dataclass(frozen=True, slots=True)
class VersionedConfig:
    """A configuration, its version and the JSON document it was parsed from.

    Versions only increase. A query uses one object of this type from its first step
    to its last, which pins its index version and its shard map.
    """

    version: int
    config: PublishedConfig
    document: bytes
