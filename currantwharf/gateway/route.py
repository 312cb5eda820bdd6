"""A route: which requests it matches and which services they go to."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight, which sets its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One class of requests, as declared by the operator.

    A route has either `services`, of which one receives each request, or `shards`,
    all of which receive each request. `timeout_s` and `target_s` are the timeout and
    the latency target in seconds. `most_servers` is the maximum number of servers of
    each shard that may run one request, `least_coverage` the minimum fraction of
    shards that an answer must include, and `top` the number of records in a merged
    answer. `regions` are the regions whose servers may be used; empty means all.
    """

    name: str
    host: bytes
    prefix: bytes
    idempotent: bool
    timeout_s: float
    target_s: float
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    most_servers: int = 2
    top: int = 0
    least_coverage: float = 1.0
    regions: frozenset[str] = frozenset()
