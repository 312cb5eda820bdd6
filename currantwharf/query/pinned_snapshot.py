"""The index version and shard map that a query uses from start to finish."""

from dataclasses import dataclass

from currantwharf.config import VersionedConfig


@dataclass(frozen=True, slots=True)
class PinnedSnapshot:
    """An index version and the shards of one class in that version.

    `shards` maps the qualified name of each shard, `service/shard`, to the servers
    that hold its replicas.
    """

    config_version: int
    index_version: str
    shards: dict[str, tuple[str, ...]]


def pin_snapshot(versioned: VersionedConfig, class_name: str) -> PinnedSnapshot:
    """Return the snapshot of `class_name` in the given configuration."""
    config = versioned.config
    shards = {
        f"{service}/{shard}": servers
        for service in config.classes[class_name].services
        for shard, servers in config.services[service].shards.items()
    }
    return PinnedSnapshot(versioned.version, config.index_version, shards)
