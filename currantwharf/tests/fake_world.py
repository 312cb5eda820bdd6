"""A small world of fakes: several instances, a platform and backend servers.

Time is the test's to advance. There is no model of the network beyond a fixed hop
and a set of cuts.
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
from currantwharf.tests.fake_node import START_WALL, NodeClock, NodeReactor
from currantwharf.tests.fake_reactor import FakeReactor

SERVICE_MS = 10.0  # milliseconds


class FakeWorld:
    """Hold the processes of a small site and what joins or parts them."""

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
        self.losses: dict[str, list[Callable[[], None]]] = {}
        self.centres = plan.data_centres
        self.listed: dict[str, ListedInstance] = {}
        self._seed = seed
        self._boots = 0
        self.publish(self.config)
        for number in range(plan.instances):
            self.list_instance(f"i{number}", number)
        self.publish_list()
        for server in self.config.servers:
            self.start_backend(server)
        for name in self.listed:
            self.start(name)

    def list_instance(self, name: str, number: int) -> None:
        # The name of an instance serves as its address here.
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
        """Let the platform serve a copy of what is published now, until mended."""
        for name, value in self.platform.values.items():
            copy = self.stale[name] = PlatformValue()
            copy.publish(value.document, value.version)

    def serve_newest_for(self, seconds: float) -> None:
        """Let a stale platform show what is published for a while."""
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
        return START_WALL + self.clock.seconds()

    def start(self, name: str) -> Instance:
        self._boots += 1
        reactor = self.reactors[name] = NodeReactor(self.clock)
        interfaces = Interfaces(
            FakePeers(self, name),
            FakePlatform(self, name),
            self._make_backend
            or (lambda d: FakeBackend(self, name, self._server_at(d.address))),
        )
        rng = random.Random(self._seed * 1000 + self._boots)
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

    def part(self, some: set[str], one_way: bool = False) -> None:
        for one in some:
            for other in set(self.listed) - some:
                self.cut.add((one, other))
                if not one_way:
                    self.cut.add((other, one))

    def heal(self) -> None:
        self.cut.clear()
        self.cut_from_platform.clear()

    def start_backend(self, server: str) -> Backend:
        self._boots += 1
        slots = self.config.servers[server].slots
        boot_id = f"{server}-boot-{self._boots}"
        backend = Backend(self.clock, server, slots, SERVICE_MS, boot_id, self._boots)
        self.backends[server] = backend
        self.all_backends.append(backend)
        return backend

    def lose_backend(self, server: str) -> None:
        self.backends.pop(server, None)
        for lose in self.losses.pop(server, []):
            lose()

    def runs(self) -> list[dict[str, int]]:
        """Return the runs of each order at every server that there ever was."""
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

    def send(self, name: str, body: dict[str, Any]) -> "Sent":
        """Send a caller's request to an instance, as its interface would."""
        instance = self.nodes[name]
        config = instance.config_for_callers()
        if config is None:
            return SentRequest(body, None)
        now, wall = instance.read_clocks()
        raw = msgspec.json.encode(body)
        request = parse_caller_request(raw, config, now, wall).unwrap()
        return SentRequest(body, instance.run(request))

    def _server_at(self, address: str) -> str:
        for name, declared in self.config.servers.items():
            if declared.address == address:
                return name
        return ""


class SentRequest:
    """Hold a request that was sent and its result once it is there."""

    def __init__(
        self, body: dict[str, Any], done: "Deferred[QueryResult] | None"
    ) -> None:
        self.body = body
        self.result: QueryResult | None = None
        self.refused = done is None
        if done is not None:
            done.addCallback(self._take)

    def _take(self, result: QueryResult) -> None:
        self.result = result
