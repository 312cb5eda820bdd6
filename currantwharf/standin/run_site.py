"""Run the stand-in platform and all stand-in backend servers in one process."""

from dataclasses import dataclass
from typing import Any

from twisted.web.server import Site

from currantwharf.config import PublishedConfig
from currantwharf.fleet import InstanceList
from currantwharf.node import SystemClock
from currantwharf.standin.backend import Backend
from currantwharf.standin.backend_server import backend_resource
from currantwharf.standin.platform import Platform, platform_resource


@dataclass(slots=True)
class RunningSite:
    """Hold the stand-ins of a site and their ports."""

    platform: Platform
    backends: dict[str, Backend]
    ports: dict[str, Any]


def run_site(
    config: PublishedConfig,
    listed: InstanceList,
    platform_address: str,
    service_ms: float,
    encode: Any,
    reactor: Any,
) -> RunningSite:
    """Start the platform and one stand-in for each server of `config`."""
    platform = Platform()
    platform.values["config"].publish(encode(config))
    platform.values["instances"].publish(encode(listed))
    site = RunningSite(platform, {}, {})
    resource = platform_resource(platform, reactor)
    site.ports["platform"] = _listen(reactor, platform_address, resource)
    for number, (name, server) in enumerate(sorted(config.servers.items())):
        backend = Backend(
            reactor, name, server.slots, service_ms, f"boot-{name}-1", number
        )
        site.backends[name] = backend
        resource = backend_resource(backend, SystemClock())
        site.ports[name] = _listen(reactor, server.address, resource)
    return site


def _listen(reactor: Any, address: str, resource: Any) -> Any:
    host, _, port = address.rpartition(":")
    return reactor.listenTCP(int(port), Site(resource), interface=host)
