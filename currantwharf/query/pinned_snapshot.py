"""The snapshot that a query holds from its first step to its last."""

from dataclasses import dataclass

from currantwharf.config import VersionedConfig


@dataclass(frozen=True, slots=True)
class PinnedSnapshot:
    """Hold an index version and the shards of one class under it.

    `shards` maps the full name of each shard, `service/shard`, to its replicas.
    """

    config_version: int
    index_version: str
    shards: dict[str, tuple[str, ...]]


def pin_snapshot(versioned: VersionedConfig, class_name: str) -> PinnedSnapshot:
    """Pin the index version and the shard map for a query of `class_name`."""
    config = versioned.config
    shards = {
        f"{service}/{shard}": servers
        for service in config.classes[class_name].services
        for shard, servers in config.services[service].shards.items()
    }
    return PinnedSnapshot(versioned.version, config.index_version, shards)
