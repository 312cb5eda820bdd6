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
    """The stand-ins of a site and their open ports.

    `service_ms` is the usual service time of the backend servers. `boots` counts the
    started servers and makes their boot ids unique.
    """

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
        """Abort the connections of a backend server and close its port."""
        port = self.ports.pop(server, None)
        if port is None:
            return
        for connection in list(port.factory.open_connections):
            connection.transport.abortConnection()
        await port.stopListening()

    def restore_server(self, server: str) -> None:
        """Start a killed backend server again: cold, under a new boot id."""
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
    """A web site that tracks its open connections and writes no access log."""

    def __init__(self, resource: Any) -> None:
        super().__init__(resource)
        self.open_connections: set[Any] = set()

    def log(self, request: Any) -> None:
        """Write no access log."""

    def buildProtocol(self, addr: Any) -> Any:
        """Return the channel of a new connection and track it until it is lost."""
        channel: Any = super().buildProtocol(addr)
        self.open_connections.add(channel)
        original_connection_lost = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            self.open_connections.discard(channel)
            original_connection_lost(reason)

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
    """Serve `resource` at the `host:port` in `address` and return the port."""
    host, _, port = address.rpartition(":")
    return reactor.listenTCP(
        int(port), ConnectionTrackingSite(resource), interface=host
    )
