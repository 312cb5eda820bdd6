"""A fake world: several instances, a platform and backend servers.

The test advances the time. The model of the network is a fixed latency for each hop
and a set of cut links.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from currantwharf.adapters.caller_body import parse_caller_request
from currantwharf.config import BackendServer, PublishedConfig
from currantwharf.demo.site_plan import SitePlan, build_config, encode
from currantwharf.fleet import InstanceList, ListedInstance
from currantwharf.node import Instance
from currantwharf.node.interfaces import BackendCalls, Interfaces
from currantwharf.query import QueryResult
from currantwharf.standin import Backend, Platform, PlatformValue
from currantwharf.tests.builders import make_settings
from currantwharf.tests.fake_calls import FakeBackend, FakePeers, FakePlatform
from currantwharf.tests.fake_node import START_UNIX_TIME_S, NodeClock, NodeReactor
from currantwharf.tests.fake_reactor import FakeReactor

SERVICE_MS = 10.0  # service time of the backend servers


class FakeWorld:
    """The processes of a small site and the links between them.

    `cut` has pairs of a sender and a receiver whose messages are lost. Servers in
    `crossed` return the answers to other queries. `stale` has the old copies that the
    platform serves in place of the published values. `loss_callbacks` has for each
    server the callbacks that fail its calls when it is lost.
    """

    def __init__(
        self,
        plan: SitePlan,
        seed: int = 1,
        make_backend: Callable[[BackendServer], BackendCalls] | None = None,
    ) -> None:
        self._make_backend = make_backend
        self.clock = FakeReactor()
        self.config: PublishedConfig = build_config(plan)
        self.platform = Platform()
        self.backends: dict[str, Backend] = {}
        self.all_backends: list[Backend] = []
        self.nodes: dict[str, Instance] = {}
        self.reactors: dict[str, NodeReactor] = {}
        self.cut: set[tuple[str, str]] = set()
        self.cut_from_platform: set[str] = set()
        self.crossed: set[str] = set()
        self.stale: dict[str, PlatformValue] = {}
        self.backend_calls: list[tuple[str, float]] = []
        self.loss_callbacks: dict[str, list[Callable[[], None]]] = {}
        self.centres = plan.data_centres
        self.listed: dict[str, ListedInstance] = {}
        self._seed = seed
        self._boot_count = 0
        self.publish(self.config)
        for number in range(plan.instances):
            self.list_instance(f"i{number}", number)
        self.publish_list()
        for server in self.config.servers:
            self.start_backend(server)
        for name in self.listed:
            self.start(name)

    def list_instance(self, name: str, number: int) -> None:
        # In a fake world the name of an instance is also its address.
        centre = self.centres[number % len(self.centres)]
        self.listed[name] = ListedInstance(name, centre)

    def publish(self, config: PublishedConfig) -> None:
        self.config = config
        self.platform.values["config"].publish(encode(config))

    def publish_list(self, leaving: tuple[str, ...] = ()) -> None:
        servers: Any = dict.fromkeys(leaving, "leaving")
        listed = InstanceList(0, dict(self.listed), servers)
        self.platform.values["instances"].publish(encode(listed))

    def make_platform_stale(self) -> None:
        """Serve copies of the values published now until `stale` is cleared."""
        for name, value in self.platform.values.items():
            copy = self.stale[name] = PlatformValue()
            copy.publish(value.document, value.version)

    def serve_newest_for(self, seconds: float) -> None:
        """Serve the newest values for a while, then the stale copies again."""
        stale, self.stale = self.stale, {}
        for value in stale.values():
            value.publish(value.document, value.version)
        self.advance(seconds)
        self.stale = stale

    def set_data_centre(self, name: str, in_service: bool) -> None:
        centres = dict(self.config.data_centres)
        centres[name] = replace(centres[name], in_service=in_service)
        self.publish(replace(self.config, data_centres=centres))

    def set_leaving(self, server: str) -> None:
        servers = dict(self.config.servers)
        servers[server] = replace(servers[server], leaving=True)
        self.publish(replace(self.config, servers=servers))

    def set_index(self, version: str) -> None:
        self.publish(replace(self.config, index_version=version))

    def wall(self) -> float:
        return START_UNIX_TIME_S + self.clock.seconds()

    def start(self, name: str) -> Instance:
        self._boot_count += 1
        reactor = self.reactors[name] = NodeReactor(self.clock)
        interfaces = Interfaces(
            FakePeers(self, name),
            FakePlatform(self, name),
            self._make_backend
            or (lambda s: FakeBackend(self, name, self._find_server(s.address))),
        )
        rng = random.Random(self._seed * 1000 + self._boot_count)
        settings = make_settings(name, self.listed[name].data_centre)
        instance = Instance(settings, reactor, NodeClock(self.clock), interfaces, rng)
        self.nodes[name] = instance
        instance.start()
        return instance

    def kill(self, name: str) -> None:
        self.reactors[name].dead = True
        self.nodes.pop(name, None)

    def pause(self, name: str) -> None:
        self.reactors[name].paused = True

    def resume(self, name: str) -> None:
        self.reactors[name].resume()

    def part(self, names: set[str], one_way: bool = False) -> None:
        for name in names:
            for other in set(self.listed) - names:
                self.cut.add((name, other))
                if not one_way:
                    self.cut.add((other, name))

    def heal(self) -> None:
        self.cut.clear()
        self.cut_from_platform.clear()

    def start_backend(self, server: str) -> Backend:
        self._boot_count += 1
        slots = self.config.servers[server].slots
        boot_id = f"{server}-boot-{self._boot_count}"
        backend = Backend(
            self.clock, server, slots, SERVICE_MS, boot_id, self._boot_count
        )
        self.backends[server] = backend
        self.all_backends.append(backend)
        return backend

    def lose_backend(self, server: str) -> None:
        self.backends.pop(server, None)
        for fail_call in self.loss_callbacks.pop(server, []):
            fail_call()

    def runs(self) -> list[dict[str, int]]:
        """Return the run counts by order of every server, including lost servers."""
        return [backend.stats.runs for backend in self.all_backends]

    def is_disturbed(self) -> bool:
        paused = any(self.reactors[name].paused for name in self.nodes)
        cut = bool(self.cut or self.cut_from_platform)
        return paused or cut or self.platform.down or bool(self.stale)

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def pass_time(self, seconds: float, name: str) -> "Deferred[None]":
        reactor: Any = self.reactors[name]
        return deferLater(reactor, seconds, lambda: None)

    def send(self, name: str, body: dict[str, Any]) -> "SentRequest":
        """Send a request to an instance as the caller interface does."""
        instance = self.nodes[name]
        config = instance.get_config_for_callers()
        if config is None:
            return SentRequest(body, None)
        now, wall = instance.read_clocks()
        raw = msgspec.json.encode(body)
        request = parse_caller_request(raw, config, now, wall).unwrap()
        return SentRequest(body, instance.run(request))

    def _find_server(self, address: str) -> str:
        for name, entry in self.config.servers.items():
            if entry.address == address:
                return name
        return ""


class SentRequest:
    """A request that was sent, with its result once it has arrived."""

    def __init__(
        self, body: dict[str, Any], done: "Deferred[QueryResult] | None"
    ) -> None:
        self.body = body
        self.result: QueryResult | None = None
        self.refused = done is None
        if done is not None:
            done.addCallback(self._set_result)

    def _set_result(self, result: QueryResult) -> None:
        self.result = result
