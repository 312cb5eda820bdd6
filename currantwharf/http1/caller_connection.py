"""A connection from a caller, whose requests are answered one after the other."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from currantwharf.http1.backend_connection import set_socket_options
from currantwharf.http1.encode import encode_response
from currantwharf.http1.memory_budget import PROCESS_BUDGET, MemoryBudget
from currantwharf.http1.message import Header, HttpRequest
from currantwharf.http1.request_limits import RequestLimits
from currantwharf.http1.request_reader import BadRequest, RequestReader
from currantwharf.http1.responder import Responder
from currantwharf.http1.round_trip import read_round_trip_s
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.unexpected_errors import PROCESS_ERRORS

log = component_logger("http1")

MAX_PIPELINED_REQUESTS = 32  # requests queued on one connection before it is closed


class CallerConnection(Protocol):
    """Connection that passes requests to `handle` and writes responses in their order.

    While `is_closing` returns true, each response announces the end of its connection.
    The owner calls `check_timeouts` about once a second to close the connections of
    callers that exceed the limits on idle time and on the time to send headers.
    `has_had_request` is true once the first bytes of a request have arrived.
    """

    transport: Any

    def __init__(
        self,
        handle: Callable[[HttpRequest, Responder], None],
        limits: RequestLimits,
        clock: Callable[[], float],
        is_closing: Callable[[], bool],
        on_closed: Callable[["CallerConnection"], None],
        budget: MemoryBudget = PROCESS_BUDGET,
    ) -> None:
        self._handle = handle
        self._clock = clock
        self.opened_at = clock()
        self.has_had_request = False
        self._is_closing = is_closing
        self._on_closed = on_closed
        self._budget = budget
        self._reader = RequestReader(limits, budget, self._on_evicted)
        self._queue: deque[HttpRequest | BadRequest] = deque()
        self._queued_bytes = 0
        self._refuses_waiting = False
        self._responder: Responder | None = None
        self._last_active_at = self.opened_at
        self._headers_started_at: float | None = None
        self._is_first_request = True
        self._is_ended = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is running or partly read."""
        return self._responder is not None or not self._reader.is_between_messages

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply the limits of a new configuration to later requests."""
        self._reader.limits = limits

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options."""
        set_socket_options(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the caller."""
        now = self._clock()
        self._last_active_at = now
        self.has_had_request = True
        if self._is_ended:
            return
        try:
            has_room = self._enqueue(self._reader.feed(data))
        except BadRequest as exc:
            has_room = self._enqueue(self._reader.pop_completed())
            self._queue.append(exc)
            self._is_ended = True
        if self._reader.is_reading_headers:
            self._headers_started_at = self._headers_started_at or now
        else:
            self._headers_started_at = None
        if self._reader.expects_continue and not self._reader.is_between_messages:
            self._reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not has_room:
            self.close()
            return
        self._handle_next()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Notify the running request that its caller has disconnected."""
        self._queue.clear()
        self._release_queued(self._queued_bytes)
        self._reader.close()
        self._is_ended = True
        responder, self._responder = self._responder, None
        if responder is not None:
            responder.notify_disconnect()
        self._on_closed(self)

    def check_timeouts(self, now: float) -> None:
        """Close the connection if its caller exceeds a time limit."""
        if self._responder is not None:
            return
        limits = self._reader.limits
        if (
            self._headers_started_at is not None
            and now - self._headers_started_at > limits.header_s
        ):
            self._is_ended = True
            self._reject(BadRequest(408, "the headers took too long"))
        elif now - self._last_active_at > limits.idle_s:
            self.close()

    def close(self) -> None:
        """Close the connection after sending the data written to it."""
        self._is_ended = True
        if self.transport is not None:
            self.transport.loseConnection()

    def refuse_waiting(self) -> None:
        """Answer the requests that have not been started with 503 from now on.

        They wait behind one that is running; the process ends with its answer.
        """
        self._refuses_waiting = True

    def _on_evicted(self) -> None:
        """Refuse the request being read, after those that were read before it."""
        self._is_ended = True
        self._queue.append(BadRequest(503, "not run: too many bytes are held"))
        self._handle_next()

    def _enqueue(self, requests: list[HttpRequest]) -> bool:
        """Queue requests; return whether there is room for them."""
        size = sum(len(request.body) for request in requests)
        if not self._budget.try_reserve(size):
            return False
        self._queued_bytes += size
        self._queue.extend(requests)
        return len(self._queue) <= MAX_PIPELINED_REQUESTS

    def _release_queued(self, size: int) -> None:
        self._queued_bytes -= size
        self._budget.release(size)

    def _handle_next(self) -> None:
        if self._responder is not None or not self._queue:
            return
        item = self._queue.popleft()
        if isinstance(item, BadRequest):
            self._reject(item)
            return
        self._release_queued(len(item.body))
        keep_alive, with_body = item.keep_alive, item.method != b"HEAD"
        if self._refuses_waiting:
            body = b"not run: the instance stops\n"
            self._write_response(503, (), body, keep_alive, with_body)
            return

        def write(status: int, headers: Iterable[Header], body: bytes) -> None:
            self._write_response(status, headers, body, keep_alive, with_body)

        round_trips = 2 if self._is_first_request else 1
        self._is_first_request = False
        network_delay_s = round_trips * read_round_trip_s(self.transport)
        self._responder = Responder(write, network_delay_s, self._acknowledge)
        try:
            self._handle(item, self._responder)
        except Exception as exc:
            # The caller gets an answer, and no other request is affected.
            now = self._clock()
            PROCESS_ERRORS.record(log, "unexpected error in a request", exc, now)
            if self._responder is not None:
                self._responder.finish(500, (), b"unexpected error\n")

    def _acknowledge(self) -> None:
        self.transport.write(b"HTTP/1.1 102 Processing\r\n\r\n")

    def _write_response(
        self,
        status: int,
        headers: Iterable[Header],
        body: bytes,
        keep_alive: bool,
        with_body: bool,
    ) -> None:
        self._responder = None
        self._last_active_at = self._clock()
        # A stopping instance answers the requests that it has read before it closes.
        keeps_open = keep_alive and (bool(self._queue) or not self._is_closing())
        self.transport.write(
            encode_response(status, headers, body, keeps_open, with_body)
        )
        if not keeps_open:
            self.close()
        elif self._queue:
            self._handle_next()

    def _reject(self, error: BadRequest) -> None:
        body = error.detail.encode() + b"\n"
        self.transport.write(encode_response(error.status, (), body, keep_alive=False))
        self.close()
