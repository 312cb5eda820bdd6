"""A baseline to compare measurements with: direct calls, round-robin, no hedging.

Each instance calls every backend server itself and uses the replicas of a shard in
turn. It waits until the deadline at most and merges the answers that came by then.
Instances share no state, and the load on a backend server has no limit.
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

CONFIG_RETRY_DELAY_S = 0.2
IDLE_CONNECTIONS_PER_SERVER = 25


class BaselineInstance:
    """An instance that answers queries without coordination or hedging."""

    def __init__(self, settings: Settings, reactor: Any) -> None:
        self._reactor = reactor
        self._settings = settings
        self._clock = SystemClock()
        self._config: VersionedConfig | None = None
        self._clients: dict[str, BackendClient] = {}
        self._request_numbers = count()

    async def load_config(self) -> None:
        """Load the configuration once, retrying until the platform answers."""
        platform = PlatformClient(self._reactor, self._settings.platform)
        published = None
        while published is None:
            try:
                published = await platform.watch_config(0, 10)
            except Exception:
                await deferLater(self._reactor, CONFIG_RETRY_DELAY_S, lambda: None)
        self._config = parse_config(*published).unwrap()
        for name, server in self._config.config.servers.items():
            self._clients[name] = BackendClient(
                self._reactor, server.address, IDLE_CONNECTIONS_PER_SERVER
            )

    @property
    def is_ready(self) -> bool:
        """Whether the configuration has been loaded."""
        return self._config is not None

    async def answer_query(self, body: bytes) -> bytes:
        """Query one replica of every shard and merge the answers that are in time."""
        assert self._config is not None
        now, wall = self._clock.now(), self._clock.wall()
        request = parse_caller_request(body, self._config.config, now, wall).unwrap()
        snapshot = pin_snapshot(self._config, request.class_name)
        pending = [
            ensureDeferred(
                self._query_shard(request, shard, servers, snapshot.index_version)
            )
            for shard, servers in snapshot.shards.items()
        ]
        answers: list[ShardAnswer] = await gatherResults(pending)
        answered = [a for a in answers if a.outcome is Outcome.ANSWERED]
        is_complete = len(answered) == len(answers)
        result = QueryResult(
            request.request_id,
            request.class_name,
            request.caller,
            Outcome.ANSWERED if answered else Outcome.UNKNOWN,
            Reason.NONE if is_complete else Reason.DEADLINE,
            snapshot.index_version,
            Coverage(len(answered), len(answers)),
            merge_hits(a.hits for a in answered),
        )
        return encode_result(result)

    async def _query_shard(
        self,
        request: CallerRequest,
        shard: str,
        servers: tuple[str, ...],
        index_version: str,
    ) -> ShardAnswer:
        number = next(self._request_numbers)
        server = servers[number % len(servers)]
        budget_ms = (request.deadline - self._clock.now()) * 1000
        shard_request = ShardRequest(
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
        result = await self._clients[server].send_requests((shard_request,))
        return build_answers((shard_request,), result, 0)[0]


def serve_baseline(settings: Settings, reactor: Any) -> None:
    """Run one instance of the baseline until the process is killed."""
    baseline = BaselineInstance(settings, reactor)
    callers, operators = Klein(), Klein()

    @callers.route("/v1/requests", methods=["POST"])
    def requests(request: Request) -> "Deferred[bytes]":
        return ensureDeferred(baseline.answer_query(read_body(request)))

    @callers.route("/ready")
    def ready(request: Request) -> bytes:
        request.setResponseCode(200 if baseline.is_ready else 503)
        return msgspec.json.encode({"ready": baseline.is_ready})

    @operators.route("/status")
    def status(request: Request) -> bytes:
        # The cost of a phase is read from these keys; the baseline exchanges nothing
        # with other instances and does not count its platform calls.
        no_traffic = {"calls": 0, "messages": 0, "bytes": 0}
        report = {
            "process": describe_process(),
            "post": no_traffic,
            "platform": no_traffic,
        }
        return msgspec.json.encode(report)

    for port, app in (
        (settings.caller_port, callers),
        (settings.operator_port, operators),
    ):
        site = make_site(app.resource(), MAX_CALLER_BODY_BYTES)
        reactor.listenTCP(port, site, interface=settings.host)
    reactor.callWhenRunning(lambda: ensureDeferred(baseline.load_config()))
    reactor.run()
