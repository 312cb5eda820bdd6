"""The baseline that measurements compare with: direct, round-robin, no hedge.

Each instance speaks to every backend server itself, takes the replicas of a shard in
turn, waits for a fixed time and answers with what is there. Nothing is shared among
instances and no limit is kept for a server.
"""

from itertools import count
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.task import deferLater
from twisted.web.server import Request

from currantwharf.adapters.backend_client import BackendClient
from currantwharf.adapters.bounded_site import make_site, read_body
from currantwharf.adapters.caller_body import (
    MAX_CALLER_BODY_BYTES,
    parse_caller_request,
)
from currantwharf.adapters.caller_server import encode_result
from currantwharf.adapters.platform_client import PlatformClient
from currantwharf.config import VersionedConfig, parse_config
from currantwharf.node import SystemClock
from currantwharf.node.status import describe_process
from currantwharf.owner import build_answers
from currantwharf.query import (
    CallerRequest,
    Coverage,
    QueryResult,
    merge_hits,
    pin_snapshot,
)
from currantwharf.settings import Settings
from currantwharf.wire import Outcome, Reason, ShardAnswer, ShardRequest

RETRY_S = 0.2  # seconds
CONNECTIONS = 25  # idle connections kept to each backend server


class Baseline:
    """Answer queries the plain way."""

    def __init__(self, settings: Settings, reactor: Any) -> None:
        self._reactor = reactor
        self._settings = settings
        self._clock = SystemClock()
        self._config: VersionedConfig | None = None
        self._clients: dict[str, BackendClient] = {}
        self._turn = count()

    async def load_config(self) -> None:
        """Read the configuration once."""
        platform = PlatformClient(self._reactor, self._settings.platform)
        found = None
        while found is None:
            try:
                found = await platform.watch_config(0, 10)
            except Exception:
                await deferLater(self._reactor, RETRY_S, lambda: None)
        self._config = parse_config(*found).unwrap()
        for name, declared in self._config.config.servers.items():
            self._clients[name] = BackendClient(
                self._reactor, declared.address, CONNECTIONS
            )

    @property
    def ready(self) -> bool:
        """Whether the configuration has been read."""
        return self._config is not None

    async def answer(self, raw: bytes) -> bytes:
        """Ask one replica of every shard and merge what comes in time."""
        assert self._config is not None
        now, wall = self._clock.now(), self._clock.wall()
        request = parse_caller_request(raw, self._config.config, now, wall).unwrap()
        snapshot = pin_snapshot(self._config, request.class_name)
        asked = [
            ensureDeferred(self._ask(request, shard, servers, snapshot.index_version))
            for shard, servers in snapshot.shards.items()
        ]
        answers: list[ShardAnswer] = await gatherResults(asked)
        good = [a for a in answers if a.outcome is Outcome.ANSWERED]
        whole = len(good) == len(answers)
        result = QueryResult(
            request.request_id,
            request.class_name,
            request.caller,
            Outcome.ANSWERED if good else Outcome.UNKNOWN,
            Reason.NONE if whole else Reason.DEADLINE,
            snapshot.index_version,
            Coverage(len(good), len(answers)),
            merge_hits(a.hits for a in good),
        )
        return encode_result(result)

    async def _ask(
        self,
        request: CallerRequest,
        shard: str,
        servers: tuple[str, ...],
        index_version: str,
    ) -> ShardAnswer:
        number = next(self._turn)
        server = servers[number % len(servers)]
        budget_ms = (request.deadline - self._clock.now()) * 1000
        asked = ShardRequest(
            f"{self._settings.instance}.{number}",
            1,
            request.class_name,
            shard,
            server,
            index_version,
            budget_ms,
            True,
            request.fingerprint,
            request.body,
        )
        result = await self._clients[server].send_requests((asked,))
        return build_answers((asked,), result, 0)[0]


def serve_baseline(settings: Settings, reactor: Any) -> None:
    """Run one instance of the baseline until it is killed."""
    baseline = Baseline(settings, reactor)
    callers, operators = Klein(), Klein()

    @callers.route("/v1/requests", methods=["POST"])
    def requests(request: Request) -> "Deferred[bytes]":
        return ensureDeferred(baseline.answer(read_body(request)))

    @callers.route("/ready")
    def ready(request: Request) -> bytes:
        request.setResponseCode(200 if baseline.ready else 503)
        return msgspec.json.encode({"ready": baseline.ready})

    @operators.route("/status")
    def status(request: Request) -> bytes:
        nothing = {"calls": 0, "messages": 0, "bytes": 0}
        state = {"process": describe_process(), "post": nothing, "platform": nothing}
        return msgspec.json.encode(state)

    for port, app in (
        (settings.caller_port, callers),
        (settings.operator_port, operators),
    ):
        site = make_site(app.resource(), MAX_CALLER_BODY_BYTES)
        reactor.listenTCP(port, site, interface=settings.host)
    reactor.callWhenRunning(lambda: ensureDeferred(baseline.load_config()))
    reactor.run()
