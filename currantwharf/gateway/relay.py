"""Have queries run by a few instances of a data centre.

In a large fleet each instance sees few queries, so that its connections to the backend
servers grow cold between them, and it knows little of the servers. A few instances, the
hubs, then run the queries of all; their connections stay open and their evidence is
fresh. It costs a hop inside the data centre.
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

BUSY_RATE = 2.0  # queries a second with which an instance keeps its own connections
RATE_WINDOW_S = 5.0  # seconds over which queries are counted
CONNECT_TIMEOUT_S = 0.1  # seconds; a hub is within a millisecond
ACKNOWLEDGED_S = 0.06  # seconds in which a hub says that it has a query
LATE_S = 0.003  # seconds past the target that are kept in hand for the way
AVOID_S = 3.0  # seconds for which a hub that failed is not used
MOST_CONNECTIONS = 16  # queries under way at one hub

log = component_logger("relay")


class Relay:
    """Choose hubs, send queries to them, and notice those that fail."""

    def __init__(
        self, reactor: Any, clock: Clock, place: InstanceInfo, table: PeerTable
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._place = place
        self._table = table
        self._rng = random.Random(place.instance)
        self._pools: dict[str, ConnectionPool] = {}
        self._avoid: dict[str, float] = {}
        self._rate = 0.0
        self._rate_at = clock.now()

    def hub(self, now: float) -> str | None:
        """Return the host that runs the next query, or None for this instance."""
        self._count(now)
        if self._rate >= BUSY_RATE:
            return None
        hubs = self._table.hubs(now, self._place.cores)
        if any(hub.name == self._table.name for hub in hubs):
            return None
        usable = [hub.host for hub in hubs if self._avoid.get(hub.host, 0.0) <= now]
        return self._rng.choice(usable) if usable else None

    def send(
        self,
        hub: str,
        encode: Callable[[float], bytes],
        request: GatewayRequest,
        on_answer: Callable[[HttpResponse | RelayFailure], None],
    ) -> Callable[[], None]:
        """Send a query to a hub; return what withdraws it.

        A query that the hub did not take is this instance's to run. So is one that
        the hub did not acknowledge, but it may have sent it to a server of each shard
        before it saw the connection end. One that was lost at the hub is not: its
        servers may have run it as often as the route allows, and the caller may ask
        again.
        """
        pool = self._pool(hub)
        is_withdrawn = False

        def done(result: HttpResponse | ConnectionFailure) -> None:
            for timer in timers:
                if timer.active():
                    timer.cancel()
            if is_withdrawn:
                return
            if isinstance(result, ConnectionFailure):
                self._avoid[hub] = self._clock.now() + AVOID_S
                failure = _failure_of(result, exchange.is_acknowledged)
                fields = {
                    "request_id": request.request_id,
                    "hub": hub,
                    "result": result.value,
                    "query": failure.value,
                }
                log.warning("hub failed", extra=fields)
                on_answer(failure)
            elif result.status == 503:
                on_answer(RelayFailure.NOT_TAKEN)
            else:
                self._log_if_late(request, hub, result.status)
                on_answer(result)

        def check() -> None:
            if not exchange.is_acknowledged:
                pool.cancel(exchange, ConnectionFailure.TIMED_OUT)

        def cancel() -> None:
            nonlocal is_withdrawn
            is_withdrawn = True
            pool.cancel(exchange, ConnectionFailure.TIMED_OUT)

        now = self._clock.now()
        exchange = Exchange(encode, lambda answer: True, request.deadline, False, done)
        timers = [
            self._reactor.callLater(ACKNOWLEDGED_S, check),
            self._reactor.callLater(
                max(0.0, request.deadline - now),
                pool.cancel,
                exchange,
                ConnectionFailure.TIMED_OUT,
            ),
        ]
        pool.send(exchange)
        return cancel

    def _count(self, now: float) -> None:
        """Count a query in a rate that fades."""
        elapsed = now - self._rate_at
        self._rate_at = now
        self._rate *= max(0.0, 1 - elapsed / RATE_WINDOW_S)
        self._rate += 1 / RATE_WINDOW_S

    def _log_if_late(self, request: GatewayRequest, hub: str, status: int) -> None:
        """Log an answer that was late here; the hub logs what became of the query."""
        now = self._clock.now()
        late_s = now - request.target_at
        if late_s > LATE_S:
            fields = {
                "request_id": request.request_id,
                "hub": hub,
                "status": status,
                "after_ms": round((now - request.arrived_at) * 1000, 1),
                "late_ms": round(late_s * 1000, 1),
            }
            log.info("answered late", extra=fields)

    def _pool(self, hub: str) -> ConnectionPool:
        pool = self._pools.get(hub)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                self._clock.now,
                (hub, self._place.relay_port),
                MOST_CONNECTIONS,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            self._pools[hub] = pool
        return pool


def _failure_of(result: ConnectionFailure, is_acknowledged: bool) -> RelayFailure:
    if is_acknowledged:
        return RelayFailure.LOST
    return (
        RelayFailure.UNCONFIRMED
        if result.may_have_been_sent
        else RelayFailure.NOT_TAKEN
    )
