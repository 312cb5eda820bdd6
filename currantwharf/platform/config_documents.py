"""The platform's document of the operator's configuration."""

import msgspec

from currantwharf.platform.bounded_numbers import (
    Count,
    Milliseconds,
    Rate,
    Share,
    Version,
    Weight,
)
from currantwharf.platform.limits_document import LimitsDocument


class BackendDocument(msgspec.Struct):
    """One of several services among which a route's requests are split by weight."""

    service: str
    weight: Weight


class RouteDocument(msgspec.Struct, rename="kebab"):
    """One route, to a service, to several with weights, or to a list of shards."""

    name: str
    host: str
    prefix: str
    route_type: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0.0
    service: str | None = None
    backends: list[BackendDocument] | None = None
    fanout: list[str] | None = None
    max_attempts: Count = 1
    top_k: Count = 0
    min_coverage: Share = 1.0
    allowed_regions: list[str] | None = None


class ServiceDocument(msgspec.Struct, rename="kebab"):
    """One service.

    `warmup_per_s` is the requests per second that all instances together may send to
    a cold server; 0 means that no rate is declared.
    """

    name: str
    max_conns: Count
    warmup_per_s: Rate = 0.0


class ConfigDocument(msgspec.Struct):
    """One complete version of the configuration."""

    version: Version
    routes: list[RouteDocument]
    services: list[ServiceDocument] = []
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)
