"""A connection to a backend server, for one request at a time."""

import contextlib
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from currantwharf.http1.connection_failure import ConnectionFailure
from currantwharf.http1.exchange import Exchange
from currantwharf.http1.header_values import parse_count
from currantwharf.http1.message import HttpResponse
from currantwharf.http1.response_reader import BadResponse, ResponseReader

MAX_RESPONSE_BYTES = 8_000_000  # far above the responses of backend servers
# Time that sent data may stay unacknowledged before the connection breaks. The platform
# counts a machine as in contact again from 5 s after the end of a disruption; a broken
# connection has to be noticed sooner than that.
USER_TIMEOUT_MS = 3_000
KEEPALIVE_INTERVAL_S = 2  # silence before the first probe, and between two probes
MAX_KEEPALIVE_PROBES = 2  # unanswered probes before the connection breaks
IDLE_MARGIN_S = 1.0  # subtracted from the idle timeout that a server announces
MAX_IDLE_S = 3_600  # a longer idle timeout counts as this one


def set_socket_options(transport: object) -> None:
    """Set socket options that detect a silent peer within seconds."""
    sock = getattr(transport, "getHandle", lambda: None)()
    if not isinstance(sock, socket.socket):
        return
    with contextlib.suppress(OSError):
        # If an option can't be set, a silent peer is only detected later.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)


class BackendConnection(Protocol):
    """Connection that sends one request after another and reads the responses.

    A response that does not match the request is dropped. The connection is then
    closed after the expected response, since it has carried data that no request asked
    for. `on_connected` is called once it is open, `on_free` whenever it is free for the
    next request, `on_closed` once when it has ended.
    """

    transport: Any

    def __init__(
        self,
        on_connected: Callable[["BackendConnection"], None],
        on_free: Callable[["BackendConnection"], None],
        on_closed: Callable[["BackendConnection"], None],
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self._last_request_id = ""
        self.idle_limit_s = float("inf")
        self.is_usable = True
        self._on_connected = on_connected
        self._on_free = on_free
        self._on_closed = on_closed
        self._reader = ResponseReader(
            max_response_bytes,
            on_evicted=lambda: self.abort(ConnectionFailure.TOO_LARGE),
        )
        self._has_unexpected_data = False

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options and report the connection."""
        set_socket_options(self.transport)
        self._on_connected(self)

    def send(self, exchange: Exchange, now: float) -> None:
        """Write the request of an exchange."""
        data = exchange.encode(now)
        self.exchange = exchange
        exchange.is_written = True
        self._last_request_id = exchange.request_id
        self._reader.has_interim_response = False
        self._reader.skips_body = exchange.is_head
        self.transport.write(data)

    def may_carry(self, exchange: Exchange) -> bool:
        """Return whether a late copy of the last response would be recognized."""
        return not exchange.request_id or exchange.request_id != self._last_request_id

    def abort(self, failure: ConnectionFailure) -> None:
        """Reset the connection; its exchange fails with `failure`."""
        self.is_usable = False
        self._fail(failure)
        if self.transport is not None:
            self.transport.abortConnection()

    def close(self) -> None:
        """Close the connection after sending the data written to it."""
        self.is_usable = False
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the server."""
        if self.exchange is not None:
            self.exchange.received_bytes += len(data)
        try:
            responses = self._reader.feed(data)
        except BadResponse as exc:
            self._has_unexpected_data = True
            for response in self._reader.pop_completed():
                self._finish_exchange(response)
            self.abort(exc.failure)
            return
        if self._reader.has_interim_response and self.exchange is not None:
            self.exchange.is_acknowledged = True
        for response in responses:
            self._finish_exchange(response)
        if self.exchange is None and not self._reader.is_between_messages:
            self.abort(ConnectionFailure.SPOILED)
        elif self.exchange is None and responses:
            self._release()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Complete a response that ends with its connection, or fail its exchange."""
        is_clean = reason is not None and reason.check(ConnectionDone) is not None
        if is_clean and self.exchange is not None:
            response = self._reader.finish()
            if response is not None:
                self._finish_exchange(response)
        self.is_usable = False
        self._reader.close()
        self._fail(ConnectionFailure.BROKEN)
        self._on_closed(self)

    def _finish_exchange(self, response: HttpResponse) -> None:
        exchange = self.exchange
        if exchange is None or not exchange.matches(response):
            self._has_unexpected_data = True
            return
        self.exchange = None
        self._update_idle_limit(response)
        exchange.finish(response)

    def _release(self) -> None:
        if self._has_unexpected_data or not self._reader.keep_alive:
            self.close()
        else:
            self._on_free(self)

    def _update_idle_limit(self, response: HttpResponse) -> None:
        value = response.get(b"keep-alive")
        if value is None or b"timeout=" not in value:
            return
        digits = value.split(b"timeout=", 1)[1].split(b",", 1)[0].strip()
        timeout_s = parse_count(digits, MAX_IDLE_S)
        if timeout_s is not None:
            self.idle_limit_s = max(0.0, timeout_s - IDLE_MARGIN_S)

    def _fail(self, failure: ConnectionFailure) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.finish(failure)
