"""One version of the operator's configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from currantwharf.gateway.route import Route
from currantwharf.gateway.service import Service
from currantwharf.http1 import RequestLimits


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """The routes, services and request limits of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: RequestLimits = field(default_factory=RequestLimits)
