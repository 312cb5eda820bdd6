"""Where an instance runs, and where it may find others."""

from collections.abc import Mapping
from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """Hold the names and addresses of one instance.

    `regions` maps data centres to regions. `gossip_port` and `fetch_port` are those of
    every instance, and so is `relay_port`; `seeds` are hosts of others that may be out
    of date. `cores` is the processor that the instance may use, in cores, and
    `link_bytes_per_s` the rate of its network link in bytes a second.
    """

    instance: str
    host: str
    data_centre: str
    region: str
    regions: Mapping[str, str]
    gossip_port: int
    fetch_port: int
    seeds: tuple[str, ...]
    relay_port: int = 0
    cores: float = 0.0
    link_bytes_per_s: float = 125e6
