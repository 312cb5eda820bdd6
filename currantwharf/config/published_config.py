"""The configuration that operators publish."""

from dataclasses import dataclass, field

from currantwharf.config.backend_server import BackendServer
from currantwharf.config.data_centre import DataCentre
from currantwharf.config.request_class import RequestClass
from currantwharf.config.service import Service


@dataclass(frozen=True, slots=True)
class PublishedConfig:
    """One complete published configuration.

    Each section is keyed by name, so that successive versions differ in few keys.
    `index_version` is the index version that new queries use. `released` lists the
    fingerprints of requests that were quarantined for crashing backend servers and
    that an operator has released.
    """

    index_version: str
    data_centres: dict[str, DataCentre]
    servers: dict[str, BackendServer]
    services: dict[str, Service]
    classes: dict[str, RequestClass]
    released: tuple[str, ...] = field(default=())
