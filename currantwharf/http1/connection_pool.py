"""A pool of connections to one address."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from currantwharf.http1.backend_connection import (
    MAX_RESPONSE_BYTES,
    BackendConnection,
)
from currantwharf.http1.connection_failure import ConnectionFailure
from currantwharf.http1.exchange import Exchange
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.unexpected_errors import PROCESS_ERRORS

CONNECT_TIMEOUT_S = 1.0  # TCP sends a lost SYN again only after 1 s
FRESH_IDLE_S = 0.5  # idle time beyond which a connection is no longer fresh

log = component_logger("pool")


class ConnectionFactory(ClientFactory):
    """Factory of one connection.

    Twisted's endpoints would do as well, but importing them delays a process's start.
    """

    noisy = False

    def __init__(
        self, conn: BackendConnection, on_failed: Callable[[Failure], None]
    ) -> None:
        self._conn = conn
        self._on_failed = on_failed

    def buildProtocol(self, addr: Any) -> BackendConnection:  # noqa: N802
        """Return the connection."""
        return self._conn

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Report that the connection could not be opened."""
        self._on_failed(reason)


class ConnectionPool:
    """Pool of up to `max_connections` connections, each for one exchange at a time.

    Exchanges without a free connection wait in order of arrival. Each is asked again
    whether it may be sent when its turn comes; one that may not fails as not sent. The
    connection used most recently is used first, so that surplus ones reach their idle
    limit and are closed. `on_connected` is called with the seconds that a connection
    took to open, `on_unreachable` when one cannot be opened. A response of more than
    `max_response_bytes` fails as too large, at its head if that tells its length.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        address: tuple[str, int],
        max_connections: int,
        on_connected: Callable[[float], None] = lambda elapsed_s: None,
        on_unreachable: Callable[[], None] = lambda: None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self.max_connections = max_connections
        self._notify_connected = on_connected
        self._notify_unreachable = on_unreachable
        self._reactor = reactor
        self._clock = clock
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._max_response_bytes = max_response_bytes
        self._free: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._connecting_count = 0
        self._waiting: deque[Exchange] = deque()
        self._is_closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no exchange is waiting or running."""
        return not self._waiting and len(self._free) == len(self._open)

    @property
    def has_free_connection(self) -> bool:
        """Whether a connection is free for the next request."""
        return bool(self._free)

    def send(self, exchange: Exchange) -> None:
        """Send a request on a free connection, or queue it until one is free."""
        now = self._clock()
        conn = self._pop_free_connection(exchange, now)
        if conn is not None:
            self._write(conn, exchange, now)
            return
        self._waiting.append(exchange)
        if self._connecting_count < len(self._waiting):
            self._connect()

    def cancel(self, exchange: Exchange, failure: ConnectionFailure) -> None:
        """Cancel an exchange; if it was written, its connection is closed."""
        for conn in list(self._open):
            if conn.exchange is exchange:
                conn.abort(failure)
                return
        if exchange in self._waiting:
            self._waiting.remove(exchange)
        exchange.finish(failure if exchange.is_written else ConnectionFailure.NOT_SENT)

    def cancel_unsent(
        self,
        exchange: Exchange,
        failure: ConnectionFailure = ConnectionFailure.NOT_SENT,
    ) -> None:
        """Cancel an exchange if it is still waiting for a connection."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)
            exchange.finish(failure)

    def cancel_all_unsent(self) -> None:
        """Cancel all exchanges that are waiting for a connection."""
        waiting, self._waiting = self._waiting, deque()
        for exchange in waiting:
            exchange.finish(ConnectionFailure.NOT_SENT)

    def drop_unsendable(self, now: float) -> None:
        """Fail the waiting exchanges that may not be sent any more."""
        for exchange in list(self._waiting):
            if exchange in self._waiting and not _may_be_sent(exchange, now):
                self.cancel_unsent(exchange)

    def preconnect(self) -> None:
        """Open a connection if there is none."""
        if not self._open and not self._connecting_count:
            self._connect()

    def close_idle(self, now: float) -> None:
        """Close idle connections shortly before the server would close them."""
        for conn in list(self._free):
            if now - conn.idle_since > conn.idle_limit_s:
                self._discard(conn)

    def close(self) -> None:
        """Close the free connections now, and the others when they become free.

        Exchanges that wait for a connection are not sent any more.
        """
        self._is_closed = True
        for conn in list(self._free):
            self._discard(conn)
        self.cancel_all_unsent()

    def _pop_free_connection(
        self, exchange: Exchange, now: float
    ) -> BackendConnection | None:
        needs_fresh = exchange.needs_fresh_connection
        while self._free:
            conn = self._free[-1]
            idle_s = now - conn.idle_since
            if needs_fresh and idle_s > FRESH_IDLE_S and self._has_room():
                return None
            if (
                conn.is_usable
                and idle_s <= conn.idle_limit_s
                and conn.may_carry(exchange)
            ):
                return self._free.pop()
            self._discard(conn)
        return None

    def _has_room(self) -> bool:
        return len(self._open) + self._connecting_count < self.max_connections

    def _connect(self) -> None:
        if not self._has_room():
            return
        self._connecting_count += 1
        started_at = self._clock()
        conn = BackendConnection(
            lambda conn: self._on_connected(conn, started_at),
            self._on_free,
            self._on_closed,
            self._max_response_bytes,
        )
        factory = ConnectionFactory(conn, self._on_connect_failed)
        self._reactor.connectTCP(
            *self._address, factory, timeout=self._connect_timeout_s
        )

    def _on_connected(self, conn: BackendConnection, started_at: float) -> None:
        self._connecting_count -= 1
        self._notify_connected(self._clock() - started_at)
        self._open.add(conn)
        self._on_free(conn)

    def _on_connect_failed(self, failure: Failure) -> None:
        self._connecting_count -= 1
        self._notify_unreachable()
        is_refused = failure.check(RefusedError) is not None
        result = (
            ConnectionFailure.REFUSED if is_refused else ConnectionFailure.NOT_CONNECTED
        )
        if not self._open and not self._connecting_count:
            waiting, self._waiting = self._waiting, deque()
            for exchange in waiting:
                exchange.finish(result)
        elif self._waiting and not self._open:
            self._waiting.popleft().finish(result)

    def _on_free(self, conn: BackendConnection) -> None:
        now = self._clock()
        conn.idle_since = now
        while self._waiting:
            exchange = self._waiting.popleft()
            if exchange.is_done:
                continue
            if not _may_be_sent(exchange, now):
                exchange.finish(ConnectionFailure.NOT_SENT)
                continue
            if not conn.may_carry(exchange):
                self._waiting.appendleft(exchange)
                self._discard(conn, was_free=False)
                return
            self._write(conn, exchange, now)
            return
        if self._is_closed:
            self._discard(conn, was_free=False)
        else:
            self._free.append(conn)

    def _on_closed(self, conn: BackendConnection) -> None:
        self._open.discard(conn)
        if conn in self._free:
            self._free.remove(conn)
        if self._waiting and not self._connecting_count and not self._is_closed:
            self._connect()

    def _write(self, conn: BackendConnection, exchange: Exchange, now: float) -> None:
        """Send a request on a connection that is free and not listed as such."""
        try:
            conn.send(exchange, now)
        except Exception as exc:
            PROCESS_ERRORS.record(log, "unexpected error in a request", exc, now)
            self._discard(conn, was_free=False)
            is_written = exchange.is_written
            exchange.finish(
                ConnectionFailure.BROKEN if is_written else ConnectionFailure.NOT_SENT
            )

    def _discard(self, conn: BackendConnection, was_free: bool = True) -> None:
        if was_free:
            self._free.remove(conn)
        conn.close()


def _may_be_sent(exchange: Exchange, now: float) -> bool:
    try:
        return exchange.deadline > now and exchange.may_be_sent(now)
    except Exception as exc:
        PROCESS_ERRORS.record(log, "unexpected error in a request", exc, now)
        return False
