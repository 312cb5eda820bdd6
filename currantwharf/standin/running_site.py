"""Run the stand-in platform and all stand-in backend servers in one process."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.web.server import Site

from currantwharf.config import PublishedConfig
from currantwharf.fleet import InstanceList
from currantwharf.node import SystemClock
from currantwharf.standin.backend import Backend
from currantwharf.standin.backend_server import backend_resource
from currantwharf.standin.platform import Platform, platform_resource

Encoder = Callable[[PublishedConfig | InstanceList], bytes]


@dataclass(slots=True)
class RunningSite:
    """Hold the stand-ins of a site and their ports."""

    config: PublishedConfig
    encode: Encoder
    service_ms: float
    reactor: Any
    platform: Platform = field(default_factory=Platform)
    backends: dict[str, Backend] = field(default_factory=dict)
    ports: dict[str, Any] = field(default_factory=dict)
    boots: int = 0

    def publish(self, config: PublishedConfig) -> None:
        """Publish a configuration, as an operator would."""
        self.config = config
        self.platform.values["config"].publish(self.encode(config))

    async def kill_server(self, server: str) -> None:
        """Make a backend server disappear, with its open connections."""
        port = self.ports.pop(server, None)
        if port is None:
            return
        for connection in list(port.factory.open_connections):
            connection.transport.abortConnection()
        await port.stopListening()

    def restore_server(self, server: str) -> None:
        """Bring a backend server back under a new boot id, cold."""
        if server not in self.ports:
            self.start_server(server)

    def start_server(self, server: str) -> None:
        """Start one stand-in backend server."""
        declared = self.config.servers[server]
        self.boots += 1
        boot_id = f"boot-{server}-{self.boots}"
        backend = Backend(
            self.reactor, server, declared.slots, self.service_ms, boot_id, self.boots
        )
        self.backends[server] = backend
        resource = backend_resource(backend, SystemClock())
        self.ports[server] = listen_at(self.reactor, declared.address, resource)


class ConnectionTrackingSite(Site):
    """A web site that knows its open connections and writes no access log."""

    def __init__(self, resource: Any) -> None:
        super().__init__(resource)
        self.open_connections: set[Any] = set()

    def log(self, request: Any) -> None:
        """Do nothing."""

    def buildProtocol(self, addr: Any) -> Any:
        """Make the channel of a connection and follow it to its end."""
        channel: Any = super().buildProtocol(addr)
        self.open_connections.add(channel)
        lost = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            self.open_connections.discard(channel)
            lost(reason)

        channel.connectionLost = connection_lost
        return channel


def start_site(
    config: PublishedConfig,
    listed: InstanceList,
    platform_address: str,
    service_ms: float,
    encode: Encoder,
    reactor: Any,
) -> RunningSite:
    """Start the platform and one stand-in for each server of `config`."""
    site = RunningSite(config, encode, service_ms, reactor)
    site.publish(config)
    site.platform.values["instances"].publish(encode(listed))
    resource = platform_resource(site.platform, reactor)
    site.ports["platform"] = listen_at(reactor, platform_address, resource)
    for server in sorted(config.servers):
        site.start_server(server)
    return site


def listen_at(reactor: Any, address: str, resource: Any) -> Any:
    """Serve `resource` at a `host:port`."""
    host, _, port = address.rpartition(":")
    return reactor.listenTCP(
        int(port), ConnectionTrackingSite(resource), interface=host
    )
