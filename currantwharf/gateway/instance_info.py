"""The identity, addresses and capacity of an instance."""

from collections.abc import Mapping
from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """The names, addresses and capacity of one instance.

    `regions` maps data centres to regions. `gossip_port`, `fetch_port` and
    `relay_port` are the same for all instances. `seeds` are hosts of other instances
    and may be outdated. `cores` is the CPU time that the instance may use, in cores,
    and `link_bytes_per_s` the rate of its network link in bytes per second.
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
