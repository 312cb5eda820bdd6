"""A stand-in of the whole platform on loopback: the store and the backend servers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
from twisted.internet.protocol import Factory

from currantwharf.http1 import (
    CallerConnection,
    HttpRequest,
    RequestLimits,
    Responder,
)
from currantwharf.standin.metadata_store import MetadataStoreStandIn
from currantwharf.standin.shard_server import ShardServer

DATA_CENTRES = {"taipei-a": "taipei", "taichung-a": "taichung"}
HOST = "127.0.0.1"
FIRST_START_MS = 1_700_000_000_000  # Unix time of the servers' first start
RESTART_S = 0.3  # from a server's crash until it listens again
ORDERS_SERVICE = "orders"

RequestHandler = Callable[[HttpRequest, Responder], None]


@dataclass(slots=True)
class PlatformSite:
    """A store, and `replicas` servers for each of `shards` shards and for orders.

    `work_s` is the service time of the servers in seconds. `proxied` maps the address
    of a listening port to the address to publish, so that a soak test can put a proxy
    in between. `lookups` holds the ids of the lookups that a test has sent.
    """

    reactor: Any
    shards: int = 4
    replicas: int = 2
    work_s: float = 0.005
    version: int = 1
    servers: dict[str, ShardServer] = field(default_factory=dict)
    ports: list[Any] = field(default_factory=list)
    proxied: Callable[[str], str] = lambda address: address
    lookups: set[str] = field(default_factory=set)
    store: MetadataStoreStandIn = field(init=False)
    store_address: str = ""

    def start(self) -> None:
        """Open all ports, register the servers and publish the configuration."""
        self.store = MetadataStoreStandIn(self.reactor)
        self.store_address = self.proxied(self._listen(self.store.handle))
        for service in (*self.shard_names(), ORDERS_SERVICE):
            for replica in range(self.replicas):
                self._start_server(service, replica)
        self.publish()

    def stop(self) -> None:
        """Close all ports."""
        ports, self.ports = self.ports, []
        for port in ports:
            port.stopListening()

    def get_service(self, server: str) -> str:
        """Return the service of a server."""
        return self._entries[server][0]

    def shard_names(self) -> list[str]:
        """Return the names of the shards' services."""
        return [f"shard-{number}" for number in range(self.shards)]

    def publish(self, **changes: object) -> None:
        """Publish the next configuration version, with the fields in `changes`."""
        self.version += 1
        route = {
            "host": "search.example",
            "timeout-ms": 1000,
            "target-latency-ms": 200,
            "max-attempts": 2,
        }
        routes = [
            {
                **route,
                "name": "lookup",
                "prefix": "/lookup/",
                "route-type": "idempotent",
                "fanout": self.shard_names(),
                "top-k": 10,
                "min-coverage": 0.5,
            },
            {
                **route,
                "name": "order",
                "prefix": "/order/",
                "route-type": "non_idempotent",
                "service": ORDERS_SERVICE,
            },
        ]
        services = [
            {"name": name, "max-conns": 26}
            for name in (*self.shard_names(), ORDERS_SERVICE)
        ]
        document = {"version": self.version, "routes": routes, "services": services}
        self._written["op/config"] = {**document, **changes}
        self.store.put("op/config", {**document, **changes})

    def publish_route(self, prefix: str) -> None:
        """Publish the next version with one more route, which is like the lookups'."""
        routes = list(self._written["op/config"]["routes"])
        routes.append({**routes[0], "name": f"lookup {prefix}", "prefix": prefix})
        self.publish(routes=routes)

    def register(self, server: str, state: str = "ready", **changes: object) -> None:
        """Write the store entry of a server, with the fields in `changes`."""
        service, data_centre, address = self._entries[server]
        self._sequences[server] = self._sequences.get(server, 0) + 1
        entry = {
            "service": service,
            "address": address,
            "zone": data_centre,
            "version": "v1",
            "slots": 2,
            "state": state,
            "warmup-left-ms": 0,
            "sequence": self._sequences[server],
            "born": self._started_ms[server],
        }
        self._written[f"servers/{server}"] = {**entry, **changes}
        self.store.put(f"servers/{server}", {**entry, **changes})

    def write_again(self) -> None:
        """Write what the operator and the servers wrote last, after a restore."""
        for key, value in list(self._written.items()):
            if key.startswith("servers/"):
                self.register(key.removeprefix("servers/"), str(value["state"]))
            else:
                self.store.put(key, value)

    def write_settings(
        self, folder: Path, number: int, first_port: int, network: str = "127.0.0"
    ) -> Path:
        """Write the settings file of one instance, which gets its own loopback address.

        `network` is the first three bytes of the addresses of a site.
        """
        ip = f"{network}.{number + 1}"
        data_centre = list(DATA_CENTRES)[number % len(DATA_CENTRES)]
        settings = {
            "node-name": f"front-{data_centre}-{number}",
            "ip": ip,
            "zone": data_centre,
            "region": DATA_CENTRES[data_centre],
            "zones": DATA_CENTRES,
            "listen": {
                "front": f"{ip}:{first_port}",
                "ready": f"{ip}:{first_port + 1}",
                "control": f"{ip}:{first_port + 2}",
            },
            "port-range": [first_port + 3, first_port + 9],
            "seeds": [f"{network}.2:{first_port + 2}"],
            "bounds": {"retry-budget-ratio": 0.2, "budget-slack": 500, "grace-s": 6},
            "platform": {"address": self.store_address},
        }
        path = folder / f"instance-{number}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    _entries: dict[str, tuple[str, str, str]] = field(default_factory=dict)
    _sequences: dict[str, int] = field(default_factory=dict)
    _written: dict[str, dict[str, Any]] = field(default_factory=dict)
    _started_ms: dict[str, int] = field(default_factory=dict)

    def _start_server(self, service: str, replica: int) -> None:
        local_number, index = divmod(replica, len(DATA_CENTRES))
        data_centre = list(DATA_CENTRES)[index]
        name = f"i-{service}-{data_centre}" + (
            f"-{local_number}" if local_number else ""
        )
        server = ShardServer(self.reactor, name, 2, self.work_s)
        self.servers[name] = server
        connections: set[CallerConnection] = set()
        own_address = self._listen(server.handle, connections)
        port = self.ports[-1]
        server.on_crash = lambda: self._crash(name, port, connections)
        self._started_ms[name] = FIRST_START_MS
        address = self.proxied(own_address)
        self._entries[name] = (service, data_centre, address)
        self.register(name)

    def _crash(
        self, server: str, port: Any, connections: set[CallerConnection]
    ) -> None:
        """Reset a server's connections; it is back `RESTART_S` later under its id."""
        if not port.connected:
            return
        port.port = port.getHost().port
        port.stopListening()
        for conn in list(connections):
            conn.transport.abortConnection()
        self.reactor.callLater(RESTART_S, self._restart, server, port)

    def _restart(self, server: str, port: Any) -> None:
        if port in self.ports:
            port.startListening()
            self._started_ms[server] += int(RESTART_S * 1000)
            self.register(server)

    def _listen(
        self, handle: RequestHandler, connections: set[CallerConnection] | None = None
    ) -> str:
        """Listen at a free port; keep its open connections in `connections`."""
        open_connections = set() if connections is None else connections

        def build() -> CallerConnection:
            conn = CallerConnection(
                handle,
                RequestLimits(),
                self.reactor.seconds,
                lambda: False,
                open_connections.discard,
            )
            open_connections.add(conn)
            return conn

        factory = Factory.forProtocol(build)
        port = self.reactor.listenTCP(0, factory, interface=HOST)
        self.ports.append(port)
        return f"{HOST}:{port.getHost().port}"
