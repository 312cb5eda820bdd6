"""The configuration that operators publish."""

from dataclasses import dataclass, field

from currantwharf.config.backend_server import BackendServer
from currantwharf.config.data_centre import DataCentre
from currantwharf.config.request_class import RequestClass
from currantwharf.config.service import Service


@dataclass(frozen=True, slots=True)
class PublishedConfig:
    """Hold one whole published configuration.

    Each part is keyed by name, so that two configurations differ by a small set of
    keys. `index_version` is the index version that new queries ask for. `released`
    lists the fingerprints of requests that an operator has cleared after they were
    held for crashing backend servers.
    """

    index_version: str
    data_centres: dict[str, DataCentre]
    servers: dict[str, BackendServer]
    services: dict[str, Service]
    classes: dict[str, RequestClass]
    released: tuple[str, ...] = field(default=())
