"""One route of the configuration: which requests it takes and what they ask."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name a service and its share of a route's requests, as a weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold one class of work as the operator declares it.

    A route has either `services`, of which one gets each request, or `shards`, all of
    which get each. `most_servers` bounds the servers that may run one request, for
    each shard. `regions` names the regions that may serve it; empty for all. Times
    are in seconds, `least_coverage` is a share of the shards, `top` the number of
    records in a merged answer.
    """

    name: str
    host: bytes
    prefix: bytes
    idempotent: bool
    timeout_s: float
    target_s: float
    priority: int = 0
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    most_servers: int = 2
    top: int = 0
    least_coverage: float = 1.0
    regions: frozenset[str] = frozenset()
