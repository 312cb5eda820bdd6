"""Forwarding of queries to the hubs, a few instances of the same data centre.

In a large fleet each instance receives few queries. Its connections to the backend
servers idle out between them, and its latency statistics are sparse. A few instances,
the hubs, then run the queries of all instances: their connections stay open and their
statistics are recent. The cost is one extra hop inside the data centre.
"""

import random
from collections.abc import Callable
from typing import Any

from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.instance_info import InstanceInfo
from currantwharf.gateway.relay_failure import RelayFailure
from currantwharf.http1 import (
    ConnectionFailure,
    ConnectionPool,
    Exchange,
    HttpResponse,
)
from currantwharf.peers.peer_table import PeerTable
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.read_first import call_after_reading
from currantwharf.runtime.unexpected_errors import PROCESS_ERRORS

# An instance with this many queries per second or more keeps its connections warm by
# itself and needs no hub.
BUSY_QUERIES_PER_S = 2.0
RATE_WINDOW_S = 5.0  # averaging window of the query rate
CONNECT_TIMEOUT_S = 0.1  # ample for a hub, whose round trip is within a millisecond
ACK_TIMEOUT_S = 0.06  # time for a hub to acknowledge a query
LATE_TOLERANCE_S = 0.003  # past the target; allows for the network path
HUB_AVOIDANCE_S = 3.0  # time for which a failed hub gets no queries
MAX_CONNECTIONS_PER_HUB = 16  # each carries one query at a time

log = component_logger("relay")


class Relay:
    """Choose hubs, send queries to them and avoid hubs that failed."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        instance_info: InstanceInfo,
        peer_table: PeerTable,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._instance_info = instance_info
        self._peer_table = peer_table
        self._rng = random.Random(instance_info.instance)
        self._pools: dict[str, ConnectionPool] = {}
        self._avoided_until: dict[str, float] = {}
        self._queries_per_s = 0.0
        self._rate_updated_at = clock.now()

    def choose_hub(self, now: float) -> str | None:
        """Count a query; return the hub host to run it, or None to run it here."""
        self._update_rate(now)
        if self._queries_per_s >= BUSY_QUERIES_PER_S:
            return None
        hubs = self._peer_table.choose_hubs(now, self._instance_info.cores)
        if any(hub.name == self._peer_table.name for hub in hubs):
            return None
        usable = [
            hub.host for hub in hubs if self._avoided_until.get(hub.host, 0.0) <= now
        ]
        return self._rng.choice(usable) if usable else None

    def send(
        self,
        hub: str,
        encode: Callable[[float], bytes],
        request: GatewayRequest,
        on_answer: Callable[[HttpResponse | RelayFailure], None],
        is_final: Callable[[HttpResponse], bool] = lambda answer: answer.status != 503,
    ) -> Callable[[], None]:
        """Send a query to a hub; return a function that cancels it.

        An answer for which `is_final` is false leaves the query to this instance.
        This instance runs the query itself if the hub refused or never received it. It
        also does if the hub did not acknowledge it, but then the hub may have sent it
        to one server of each shard before it saw the connection close. A query that
        was lost after the acknowledgement is not run again: servers may have run it as
        often as the route allows, and the caller may retry.
        """
        pool = self._get_pool(hub)
        is_cancelled = False

        def on_result(result: HttpResponse | ConnectionFailure) -> None:
            for timer in timers:
                if timer.active():
                    timer.cancel()
            if is_cancelled:
                return
            if isinstance(result, ConnectionFailure):
                self._avoided_until[hub] = self._clock.now() + HUB_AVOIDANCE_S
                failure = _classify_failure(result, exchange.is_acknowledged)
                fields = {
                    "request_id": request.request_id,
                    "hub": hub,
                    "result": result.value,
                    "query": failure.value,
                }
                log.warning("hub failed", extra=fields)
                report(failure)
            elif not is_final(result):
                report(RelayFailure.NOT_TAKEN)
            else:
                self._log_if_late(request, hub, result.status)
                report(result)

        def report(answer: HttpResponse | RelayFailure) -> None:
            try:
                on_answer(answer)
            except Exception as exc:
                now = self._clock.now()
                PROCESS_ERRORS.record(log, "unexpected error in a query", exc, now)
                on_answer(RelayFailure.LOST)

        def on_ack_timeout() -> None:
            # The acknowledgement may have come while this instance did other work.
            timers.append(call_after_reading(self._reactor, cancel_unacknowledged))

        def cancel_unacknowledged() -> None:
            if not exchange.is_acknowledged:
                pool.cancel(exchange, ConnectionFailure.TIMED_OUT)

        def cancel() -> None:
            nonlocal is_cancelled
            is_cancelled = True
            pool.cancel(exchange, ConnectionFailure.TIMED_OUT)

        now = self._clock.now()
        exchange = Exchange(
            encode,
            lambda answer: True,
            request.deadline,
            False,
            on_result,
            is_head=request.method == b"HEAD",
        )
        timers = [
            self._reactor.callLater(ACK_TIMEOUT_S, on_ack_timeout),
            self._reactor.callLater(
                max(0.0, request.deadline - now),
                pool.cancel,
                exchange,
                ConnectionFailure.TIMED_OUT,
            ),
        ]
        pool.send(exchange)
        return cancel

    def _update_rate(self, now: float) -> None:
        """Add a query to the rate, which decays over `RATE_WINDOW_S`."""
        elapsed = now - self._rate_updated_at
        self._rate_updated_at = now
        self._queries_per_s *= max(0.0, 1 - elapsed / RATE_WINDOW_S)
        self._queries_per_s += 1 / RATE_WINDOW_S

    def _log_if_late(self, request: GatewayRequest, hub: str, status: int) -> None:
        """Log an answer that arrived past its target; the hub logs the call itself."""
        now = self._clock.now()
        late_s = now - request.target_at
        if late_s > LATE_TOLERANCE_S:
            fields = {
                "request_id": request.request_id,
                "hub": hub,
                "status": status,
                "after_ms": round((now - request.arrived_at) * 1000, 1),
                "late_ms": round(late_s * 1000, 1),
            }
            log.info("answered late", extra=fields)

    def _get_pool(self, hub: str) -> ConnectionPool:
        pool = self._pools.get(hub)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                self._clock.now,
                (hub, self._instance_info.relay_port),
                MAX_CONNECTIONS_PER_HUB,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            self._pools[hub] = pool
        return pool


def _classify_failure(result: ConnectionFailure, is_acknowledged: bool) -> RelayFailure:
    if is_acknowledged:
        return RelayFailure.LOST
    return (
        RelayFailure.UNCONFIRMED
        if result.may_have_been_sent
        else RelayFailure.NOT_TAKEN
    )
