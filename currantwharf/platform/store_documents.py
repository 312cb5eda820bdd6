"""What stands in the store, as the platform spells it."""

import msgspec


class BackendDocument(msgspec.Struct):
    """One service of several that share a route's requests."""

    service: str
    weight: float


class RouteDocument(msgspec.Struct, rename="kebab"):
    """One route; it has a service, several with weights, or a list of shards."""

    name: str
    host: str
    prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    backends: list[BackendDocument] | None = None
    fanout: list[str] | None = None
    max_attempts: int = 1
    top_k: int = 0
    min_coverage: float = 1.0
    allowed_regions: list[str] | None = None


class ServiceDocument(msgspec.Struct, rename="kebab"):
    """One service. A rate of 0 for cold servers means that none is declared."""

    name: str
    max_conns: int
    warmup_per_s: float = 0.0


class LimitsDocument(msgspec.Struct, rename="kebab"):
    """What callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class ConfigDocument(msgspec.Struct):
    """One version of the configuration, whole."""

    version: int
    routes: list[RouteDocument]
    services: list[ServiceDocument] = []
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)


class ServerDocument(msgspec.Struct, rename="kebab"):
    """One server's registration; its id is in the key."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_left_ms: float = 0.0


class ItemDocument(msgspec.Struct, rename="kebab"):
    """One item of the store, or the news that a key was removed."""

    key: str
    revision: int
    value: str | None = None
    removed: bool | None = None


class RangeDocument(msgspec.Struct, rename="kebab"):
    """One page of items."""

    items: list[ItemDocument]
    store_revision: int
    truncated: bool = False


class WatchDocument(msgspec.Struct, rename="kebab"):
    """What a watch returned."""

    events: list[ItemDocument]
    store_revision: int
