"""An incremental reader of the requests on one connection."""

from collections.abc import Callable
from typing import Any

import httptools

from currantwharf.http1.encode import encode_headers
from currantwharf.http1.header_values import parse_count
from currantwharf.http1.memory_budget import PROCESS_BUDGET, MemoryBudget
from currantwharf.http1.message import Header, HttpRequest
from currantwharf.http1.parse_step import run_parser
from currantwharf.http1.receive_meter import ReceiveMeter
from currantwharf.http1.request_limits import RequestLimits

MIN_TARGET_LIMIT = 8_192  # the length that servers and proxies commonly accept
# Bytes on the wire for each byte of a header's name and value: a line with a name of
# one letter and no value takes four.
MAX_FRAMING_BYTES_PER_HEADER_BYTE = 4
# A short header takes a hundred bytes of memory, ten times what it takes on the wire.
MAX_HEADERS = 200
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class BadRequest(Exception):  # noqa: N818
    """Raised for a request that is rejected with a response of `status`."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class RequestReader:
    """Reader that assembles requests from the callbacks of `httptools`.

    `is_between_messages` is true if the bytes read so far end with a request,
    `is_reading_headers` if they end within the headers of one. `expects_continue` is
    true if the caller waits for an interim response before it sends the body.
    `on_evicted` is called if the request has to give way to others; the reader is
    closed then.
    """

    def __init__(
        self,
        limits: RequestLimits,
        budget: MemoryBudget = PROCESS_BUDGET,
        on_evicted: Callable[[], None] = lambda: None,
    ) -> None:
        self.limits = limits
        self.is_between_messages = True
        self.is_reading_headers = False
        self.expects_continue = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._is_head_known = False
        self._has_unread_body = False
        self._completed: list[HttpRequest] = []
        self._meter = ReceiveMeter(budget, self._give_way)
        self._on_evicted = on_evicted
        self._reset()

    def feed(self, data: bytes) -> list[HttpRequest]:
        """Parse bytes and return the requests that they complete.

        Raises BadRequest for a request that is rejected; requests completed before it
        remain available from `pop_completed`.
        """
        if self._parser is None:
            return []
        if not self._meter.add(len(data)):
            raise BadRequest(503, "not run: too many bytes are held")
        run_parser(
            lambda: self._parse(data),
            BadRequest,
            lambda detail: BadRequest(400, "not a request"),
        )
        if self._meter.exceeds(self._max_framing_bytes()):
            raise BadRequest(431, "the request has too many bytes around its body")
        return self.pop_completed()

    def _parse(self, data: bytes) -> None:
        """Parse bytes; a request that offers an upgrade is like any other one.

        The parser stops behind the head of such a request, as what follows could be of
        another protocol.
        """
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                data = data[exc.args[0] :]
                if self._has_unread_body:
                    self._has_unread_body = False
                    self._parser = self._make_body_parser()
            else:
                return

    def _make_body_parser(self) -> Any:
        """Return a parser that continues with the body of the request being read.

        It is given a head that frames the body as the request's own does.
        """
        parser: Any = httptools.HttpRequestParser(self)
        framing = [header for header in self._headers if header[0] in FRAMING_HEADERS]
        self._is_head_known = True
        parser.feed_data(b"POST / HTTP/1.1\r\n%s\r\n" % encode_headers(framing))
        self._is_head_known = False
        return parser

    def pop_completed(self) -> list[HttpRequest]:
        """Return and remove the completed requests."""
        completed, self._completed = self._completed, []
        return completed

    def close(self) -> None:
        """Release the memory of what will not be completed; nothing more is read.

        Reader and parser refer to each other, so if they did not let go, what they hold
        would only be freed by the garbage collector, which counts objects, not bytes.
        """
        self._reset()
        self._completed = []
        self._parser = None
        self._meter.reset()

    def _give_way(self) -> None:
        self.close()
        self._on_evicted()

    def _target_limit(self) -> int:
        """Return the longest target, which the limit on headers may raise."""
        return max(MIN_TARGET_LIMIT, self.limits.header_bytes)

    def _max_framing_bytes(self) -> int:
        return (
            self._target_limit()
            + MAX_FRAMING_BYTES_PER_HEADER_BYTE * self.limits.header_bytes
        )

    def _reset(self) -> None:
        self._target: list[bytes] = []
        self._headers: list[Header] = []
        self._body = bytearray()
        self._head_size = 0
        self._body_size = 0
        self._keep_alive = True
        self._method = b""
        self._has_unread_body = False

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._is_head_known:
            return
        self.is_between_messages = False
        self.is_reading_headers = True
        self.expects_continue = False
        self._reset()

    def on_url(self, target: bytes) -> None:
        """Store a piece of the target."""
        if self._is_head_known:
            return
        self._head_size += len(target)
        if self._head_size > self._target_limit():
            raise BadRequest(414, "the target is too long")
        self._target.append(target)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if self._is_head_known:
            return
        self._head_size += len(name) + len(value)
        if self._head_size > self.limits.header_bytes:
            raise BadRequest(431, "the headers are too large")
        if len(self._headers) == MAX_HEADERS:
            raise BadRequest(431, f"there are more than {MAX_HEADERS} headers")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the headers that describe the body."""
        if self._is_head_known:
            return
        self.is_reading_headers = False
        self._method = self._parser.get_method()
        self._keep_alive = self._parser.should_keep_alive()
        if self._method == b"CONNECT":
            raise BadRequest(400, "CONNECT is not supported")
        for name, value in self._headers:
            if name == b"content-length":
                size = parse_count(value, self.limits.body_bytes + 1)
                self._check_body_size(size or 0)
            elif name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True
        self._has_unread_body = self._parser.should_upgrade() and any(
            name in FRAMING_HEADERS for name, _ in self._headers
        )

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body."""
        self._meter.add_body(len(body))
        self._body_size += len(body)
        self._check_body_size(self._body_size)
        self._body += body

    def on_message_complete(self) -> None:
        """Complete the request, unless the parser has left out its body."""
        if self._has_unread_body:
            return
        self.is_between_messages = True
        request = HttpRequest(
            self._method,
            b"".join(self._target),
            tuple(self._headers),
            bytes(self._body),
            self._keep_alive,
        )
        self._completed.append(request)
        self._meter.reset()
        self._reset()

    def _check_body_size(self, size: int) -> None:
        if size > self.limits.body_bytes:
            raise BadRequest(413, "the body is too large")
