"""The connections of this instance to one backend server."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from currantwharf.http1.backend_connection import BackendConnection
from currantwharf.http1.connection_failure import ConnectionFailure
from currantwharf.http1.exchange import Exchange

CONNECT_TIMEOUT_S = 1.0  # seconds; a dropped opening packet is sent again after 1 s
FRESH_IDLE_S = 0.5  # seconds of idleness after which a connection is no longer fresh


class ConnectionPool:
    """Keep up to `max_connections` connections and hand each exchange to one of them.

    An exchange that finds none free waits in order of arrival. The connection that
    was used last is used first, so the others reach their idle limit and end.
    `on_connected` hears how many seconds each connection took to come about,
    `on_unreachable` that one did not.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        address: tuple[str, int],
        max_connections: int,
        on_connected: Callable[[float], None] = lambda took_s: None,
        on_unreachable: Callable[[], None] = lambda: None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.max_connections = max_connections
        self._notify_connected = on_connected
        self._notify_unreachable = on_unreachable
        self._reactor = reactor
        self._clock = clock
        self._endpoint = TCP4ClientEndpoint(
            reactor, *address, timeout=connect_timeout_s
        )
        self._free: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._connecting = 0
        self._waiting: deque[Exchange] = deque()
        self._closed = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing is under way."""
        return not self._waiting and len(self._free) == len(self._open)

    @property
    def has_free(self) -> bool:
        """Whether a request would find a connection."""
        return bool(self._free)

    def send(self, exchange: Exchange) -> None:
        """Send a request on a free connection, or as soon as one is free."""
        now = self._clock()
        conn = self._pop_free_connection(exchange.needs_fresh_connection, now)
        if conn is not None:
            conn.send(exchange, now)
            return
        self._waiting.append(exchange)
        if self._connecting < len(self._waiting):
            self._connect()

    def cancel(self, exchange: Exchange, failure: ConnectionFailure) -> None:
        """Give an exchange up; if it was written, its connection is closed."""
        for conn in list(self._open):
            if conn.exchange is exchange:
                conn.abort(failure)
                return
        if exchange in self._waiting:
            self._waiting.remove(exchange)
        exchange.finish(ConnectionFailure.NOT_SENT)

    def cancel_unsent(self, exchange: Exchange) -> None:
        """Give an exchange up if it still waits for a connection."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)
            exchange.finish(ConnectionFailure.NOT_SENT)

    def cancel_all_unsent(self) -> None:
        """Give up every exchange that waits for a connection."""
        waiting, self._waiting = self._waiting, deque()
        for exchange in waiting:
            exchange.finish(ConnectionFailure.NOT_SENT)

    def preconnect(self) -> None:
        """Open a connection if there is none."""
        if not self._open and not self._connecting:
            self._connect()

    def close_idle(self, now: float) -> None:
        """Close connections that the server would soon close itself."""
        for conn in list(self._free):
            if now - conn.idle_since > conn.idle_limit_s:
                self._discard(conn)

    def close(self) -> None:
        """Close all connections that are free, and each other one when it is."""
        self._closed = True
        for conn in list(self._free):
            self._discard(conn)

    def _pop_free_connection(
        self, fresh_only: bool, now: float
    ) -> BackendConnection | None:
        while self._free:
            conn = self._free[-1]
            idle_s = now - conn.idle_since
            if fresh_only and idle_s > FRESH_IDLE_S and self._has_room():
                return None
            if conn.is_usable and idle_s <= conn.idle_limit_s:
                return self._free.pop()
            self._discard(conn)
        return None

    def _has_room(self) -> bool:
        return len(self._open) + self._connecting < self.max_connections

    def _connect(self) -> None:
        if not self._has_room():
            return
        self._connecting += 1
        began_at = self._clock()
        factory: Any = Factory.forProtocol(
            lambda: BackendConnection(self._on_free, self._on_closed)
        )
        connected = self._endpoint.connect(factory)
        connected.addCallbacks(
            self._on_connected, self._on_failed, callbackArgs=(began_at,)
        )

    def _on_connected(self, conn: BackendConnection, began_at: float) -> None:
        self._connecting -= 1
        self._notify_connected(self._clock() - began_at)
        self._open.add(conn)
        self._on_free(conn)

    def _on_failed(self, failure: Failure) -> None:
        self._connecting -= 1
        self._notify_unreachable()
        refused = failure.check(RefusedError) is not None
        kind = ConnectionFailure.REFUSED if refused else ConnectionFailure.NOT_CONNECTED
        if not self._open and not self._connecting:
            waiting, self._waiting = self._waiting, deque()
            for exchange in waiting:
                exchange.finish(kind)
        elif self._waiting and not self._open:
            self._waiting.popleft().finish(kind)

    def _on_free(self, conn: BackendConnection) -> None:
        now = self._clock()
        conn.idle_since = now
        while self._waiting:
            exchange = self._waiting.popleft()
            if exchange.is_done:
                continue
            if exchange.deadline <= now:
                exchange.finish(ConnectionFailure.NOT_SENT)
                continue
            conn.send(exchange, now)
            return
        if self._closed:
            self._discard(conn, was_free=False)
        else:
            self._free.append(conn)

    def _on_closed(self, conn: BackendConnection) -> None:
        self._open.discard(conn)
        if conn in self._free:
            self._free.remove(conn)
        if self._waiting and not self._connecting and not self._closed:
            self._connect()

    def _discard(self, conn: BackendConnection, was_free: bool = True) -> None:
        if was_free:
            self._free.remove(conn)
        conn.close()
