"""An incremental reader of the responses on one connection."""

from typing import Any

import httptools

from currantwharf.http1.message import Header, HttpResponse


class BadResponse(Exception):  # noqa: N818
    """Raised for bytes that are not a response, or for a response that is too large."""


class ResponseReader:
    """Reader that assembles responses from the callbacks of `httptools`.

    `is_between_messages` is true if the bytes read so far end with a response.
    `is_close_delimited` is true if the response being read has neither a length nor
    chunks, so that it ends with its connection. `has_interim_response` is true after
    an interim (1xx) response.
    """

    def __init__(self, max_bytes: int) -> None:
        self.is_between_messages = True
        self.is_close_delimited = False
        self.keep_alive = True
        self.has_interim_response = False
        self._max_bytes = max_bytes
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0
        self._completed: list[HttpResponse] = []

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Parse bytes and return the responses that they complete.

        Raises BadResponse for bytes that are not a response; responses completed
        before them remain available from `pop_completed`.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadResponse from exc
        except httptools.HttpParserError as exc:
            raise BadResponse from exc
        return self.pop_completed()

    def pop_completed(self) -> list[HttpResponse]:
        """Return and remove the completed responses."""
        completed, self._completed = self._completed, []
        return completed

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
        self._headers = []
        self._body = []
        self._size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._size += len(name) + len(value)
        if self._size > self._max_bytes:
            raise BadResponse
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the body ends."""
        status = self._parser.get_status_code()
        is_framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        is_bodiless = status < 200 or status in (204, 304)
        self.is_close_delimited = not is_framed and not is_bodiless
        self.keep_alive = is_framed and self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body."""
        self._size += len(body)
        if self._size > self._max_bytes:
            raise BadResponse
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete the response; an interim one is dropped."""
        self.is_between_messages = True
        status = self._parser.get_status_code()
        if status < 200:
            self.has_interim_response = True
        else:
            response = HttpResponse(status, tuple(self._headers), b"".join(self._body))
            self._completed.append(response)
