"""A connection of a caller: requests are answered one after the other."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from currantwharf.http1.backend_connection import set_socket_options
from currantwharf.http1.encode import encode_response
from currantwharf.http1.message import Header, HttpRequest
from currantwharf.http1.request_limits import RequestLimits
from currantwharf.http1.request_reader import BadRequest, RequestReader
from currantwharf.http1.responder import Responder
from currantwharf.http1.round_trip import read_round_trip_s

MAX_PIPELINED_REQUESTS = 32  # requests read ahead on one connection


class CallerConnection(Protocol):
    """Read requests, hand each to `handle` and write the answers in their order.

    `is_closing` tells whether connections are to end: then each answer says so. The
    owner calls `sweep` about once a second, which ends connections whose caller is
    idle or slow beyond the limits.
    """

    transport: Any

    def __init__(
        self,
        handle: Callable[[HttpRequest, Responder], None],
        limits: RequestLimits,
        clock: Callable[[], float],
        is_closing: Callable[[], bool],
        on_closed: Callable[["CallerConnection"], None],
    ) -> None:
        self._handle = handle
        self._clock = clock
        self._is_closing = is_closing
        self._on_closed = on_closed
        self._reader = RequestReader(limits)
        self._queue: deque[HttpRequest | BadRequest] = deque()
        self._responder: Responder | None = None
        self._seen_at = clock()
        self._head_since: float | None = None
        self._is_first = True
        self._is_ended = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is under way or partly read."""
        return self._responder is not None or not self._reader.is_between_messages

    def set_limits(self, limits: RequestLimits) -> None:
        """Take the limits of a new configuration for the requests to come."""
        self._reader.limits = limits

    def connectionMade(self) -> None:  # noqa: N802
        """Set the options of the socket."""
        set_socket_options(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the caller."""
        now = self._clock()
        self._seen_at = now
        if self._is_ended:
            return
        try:
            self._queue.extend(self._reader.feed(data))
        except BadRequest as exc:
            self._queue.extend(self._reader.pop_completed())
            self._queue.append(exc)
            self._is_ended = True
        if self._reader.is_reading_headers:
            self._head_since = self._head_since or now
        else:
            self._head_since = None
        if self._reader.expects_continue and not self._reader.is_between_messages:
            self._reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if len(self._queue) > MAX_PIPELINED_REQUESTS:
            self.close()
            return
        self._next()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Tell the request under way that its caller has left."""
        self._queue.clear()
        self._is_ended = True
        responder, self._responder = self._responder, None
        if responder is not None:
            responder.leave()
        self._on_closed(self)

    def sweep(self, now: float) -> None:
        """End the connection if its caller is beyond the limits."""
        if self._responder is not None:
            return
        limits = self._reader.limits
        if self._head_since is not None and now - self._head_since > limits.header_s:
            self._is_ended = True
            self._refuse(BadRequest(408, "the headers took too long"))
        elif now - self._seen_at > limits.idle_s:
            self.close()

    def close(self) -> None:
        """Close the connection after what was written is sent."""
        self._is_ended = True
        if self.transport is not None:
            self.transport.loseConnection()

    def _next(self) -> None:
        if self._responder is not None or not self._queue:
            return
        item = self._queue.popleft()
        if isinstance(item, BadRequest):
            self._refuse(item)
            return
        keep_alive, with_body = item.keep_alive, item.method != b"HEAD"

        def write(status: int, headers: Iterable[Header], body: bytes) -> None:
            self._answer(status, headers, body, keep_alive, with_body)

        round_trips = 2 if self._is_first else 1
        self._is_first = False
        network_delay_s = round_trips * read_round_trip_s(self.transport)
        self._responder = Responder(write, network_delay_s, self._acknowledge)
        self._handle(item, self._responder)

    def _acknowledge(self) -> None:
        self.transport.write(b"HTTP/1.1 102 Processing\r\n\r\n")

    def _answer(
        self,
        status: int,
        headers: Iterable[Header],
        body: bytes,
        keep_alive: bool,
        with_body: bool,
    ) -> None:
        self._responder = None
        self._seen_at = self._clock()
        stays = keep_alive and not self._is_closing()
        self.transport.write(encode_response(status, headers, body, stays, with_body))
        if not stays:
            self.close()
        elif self._queue:
            self._next()

    def _refuse(self, bad: BadRequest) -> None:
        body = bad.why.encode() + b"\n"
        self.transport.write(encode_response(bad.status, (), body, keep_alive=False))
        self.close()
