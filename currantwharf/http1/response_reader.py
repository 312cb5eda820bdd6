"""An incremental reader of the responses on one connection."""

from collections.abc import Callable
from typing import Any

import httptools

from currantwharf.http1.connection_failure import ConnectionFailure
from currantwharf.http1.header_values import parse_count
from currantwharf.http1.memory_budget import PROCESS_BUDGET, MemoryBudget
from currantwharf.http1.message import Header, HttpResponse, find_header
from currantwharf.http1.parse_step import run_parser
from currantwharf.http1.receive_meter import ReceiveMeter

# Bytes of a response that are not its body, interim responses included: several times
# the head that lists the signatures of 500 shards.
MAX_FRAMING_BYTES = 65_536
# A short header takes a hundred bytes of memory, ten times what it takes on the wire.
MAX_HEADERS = 200
VALID_STATUSES = range(100, 600)  # RFC 9110, section 15


class BadResponse(Exception):  # noqa: N818
    """Raised for bytes that are not a response, or for a response that is too large."""

    def __init__(
        self, detail: str, failure: ConnectionFailure = ConnectionFailure.SPOILED
    ) -> None:
        super().__init__(detail)
        self.failure = failure


class ResponseReader:
    """Reader that assembles responses from the callbacks of `httptools`.

    A status that HTTP does not have makes bytes no response: neither what it means nor
    where the response ends can be relied on. An interim response may come unasked, and
    has no body.

    `is_between_messages` is true if the bytes read so far end with a response.
    `is_close_delimited` is true if the response being read has neither a length nor
    chunks, so that it ends with its connection. `has_interim_response` is true after
    an interim (1xx) response. `skips_body` is set if the response answers HEAD: it
    ends with its head, and the connection with it. At most `max_bytes` of headers and
    body are kept, and the memory of what is being read comes from `budget`.
    `on_evicted` is called if it has to give way to others; the reader is closed then.
    """

    def __init__(
        self,
        max_bytes: int,
        budget: MemoryBudget = PROCESS_BUDGET,
        on_evicted: Callable[[], None] = lambda: None,
    ) -> None:
        self.is_between_messages = True
        self.is_close_delimited = False
        self.keep_alive = True
        self.has_interim_response = False
        self.skips_body = False
        self._max_bytes = max_bytes
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._body = bytearray()
        self._size = 0
        self._completed: list[HttpResponse] = []
        self._meter = ReceiveMeter(budget, self._give_way)
        self._on_evicted = on_evicted

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Parse bytes and return the responses that they complete.

        Raises BadResponse for bytes that are not a response or come without end;
        responses completed before them remain available from `pop_completed`.
        """
        if self._parser is None:
            return []
        if not self._meter.add(len(data)):
            raise _too_large("too many bytes are held by all connections")
        try:
            run_parser(
                lambda: self._parser.feed_data(data),
                BadResponse,
                lambda detail: BadResponse(f"not a response: {detail}"),
            )
        except httptools.HttpParserUpgrade as exc:
            raise BadResponse("an upgrade was not asked for") from exc
        if self._meter.exceeds(MAX_FRAMING_BYTES):
            raise _too_large(f"more than {MAX_FRAMING_BYTES} bytes around the body")
        return self.pop_completed()

    def pop_completed(self) -> list[HttpResponse]:
        """Return and remove the completed responses."""
        completed, self._completed = self._completed, []
        return completed

    def close(self) -> None:
        """Release the memory of what will not be completed; nothing more is read.

        Reader and parser refer to each other, so if they did not let go, what they hold
        would only be freed by the garbage collector, which counts objects, not bytes.
        """
        self._drop_kept()
        self._completed = []
        self._parser = None
        self._meter.reset()

    def _give_way(self) -> None:
        self.close()
        self._on_evicted()

    def finish(self) -> HttpResponse | None:
        """Return the response that the end of the connection completes, if any."""
        if self.is_between_messages or not self.is_close_delimited:
            return None
        self.on_message_complete()
        return self.pop_completed()[0]

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response."""
        self.is_between_messages = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._size += len(name) + len(value)
        self._check_size()
        if len(self._headers) == MAX_HEADERS:
            raise _too_large(f"the response has more than {MAX_HEADERS} headers")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the status, and determine how the body ends."""
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            raise BadResponse(f"status {status:03d} is none of HTTP")
        is_framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        length = find_header(self._headers, b"content-length")
        if status >= 200 and self.skips_body:
            self._complete(status)
            # The parser waits for a body, so nothing more can be read.
            self.keep_alive = False
            return
        if status < 200 and is_framed and length != b"0":
            raise BadResponse(f"interim response {status} declares a body")
        is_bodiless = status < 200 or status in (204, 304)
        declared = parse_count(length, self._max_bytes + 1) or 0
        if not is_bodiless and self._size + declared > self._max_bytes:
            raise _too_large(f"the response is longer than {self._max_bytes} bytes")
        self.is_close_delimited = not is_framed and not is_bodiless
        self.keep_alive = is_framed and self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body."""
        if self.skips_body:
            return
        self._meter.add_body(len(body))
        self._size += len(body)
        self._check_size()
        self._body += body

    def on_message_complete(self) -> None:
        """Complete the response; an interim one is dropped."""
        status = self._parser.get_status_code()
        if status >= 200:
            if not self.skips_body:
                self._complete(status)
            return
        self.is_between_messages = True
        self.has_interim_response = True
        self._drop_kept()

    def _complete(self, status: int) -> None:
        self.is_between_messages = True
        response = HttpResponse(status, tuple(self._headers), bytes(self._body))
        self._completed.append(response)
        self._meter.reset()
        self._drop_kept()

    def _drop_kept(self) -> None:
        self._headers = []
        self._body = bytearray()
        self._size = 0

    def _check_size(self) -> None:
        if self._size > self._max_bytes:
            raise _too_large(f"the response is longer than {self._max_bytes} bytes")


def _too_large(detail: str) -> BadResponse:
    return BadResponse(detail, ConnectionFailure.TOO_LARGE)
