"""Where an instance runs, and where it may find others."""

from collections.abc import Mapping
from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Place:
    """Hold the names and addresses of one instance.

    `regions` maps data centres to regions. `gossip_port` and `fetch_port` are those of
    every instance; `seeds` are hosts of others that may be out of date.
    """

    instance: str
    host: str
    data_centre: str
    region: str
    regions: Mapping[str, str]
    gossip_port: int
    fetch_port: int
    seeds: tuple[str, ...]
