"""The operator's configuration, as the platform spells it."""

import msgspec

from currantwharf.platform.limits_document import LimitsDocument


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


class ConfigDocument(msgspec.Struct):
    """One version of the configuration, whole."""

    version: int
    routes: list[RouteDocument]
    services: list[ServiceDocument] = []
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)
