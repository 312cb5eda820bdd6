"""Read the answers that arrive on one connection."""

from typing import Any

import httptools

from currantwharf.http1.message import Header, HttpResponse


class BadResponse(Exception):  # noqa: N818
    """Bytes arrived that are no answer, or an answer that is larger than allowed."""


class ResponseReader:
    """Collect the answers of a connection, as `httptools` parses them.

    `feed` returns the answers that are whole. `is_between_messages` tells whether the bytes so
    far end where an answer ends, `is_close_delimited` whether the answer under way
    has neither a length nor chunks, `has_interim_response` whether an interim answer came.
    """

    def __init__(self, most_bytes: int) -> None:
        self.is_between_messages = True
        self.is_close_delimited = False
        self.keep_alive = True
        self.has_interim_response = False
        self._most_bytes = most_bytes
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0
        self._completed: list[HttpResponse] = []

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Take bytes and return the answers that they complete.

        BadResponse is raised for bytes that are no answer; answers that were whole
        before them are kept for `pop_completed`.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadResponse from exc
        except httptools.HttpParserError as exc:
            raise BadResponse from exc
        return self.pop_completed()

    def pop_completed(self) -> list[HttpResponse]:
        """Return the whole answers that were not taken yet."""
        whole, self._completed = self._completed, []
        return whole

    def finish(self) -> HttpResponse | None:
        """Return the answer that the end of its connection completes, if any."""
        if self.is_between_messages or not self.is_close_delimited:
            return None
        self.on_message_complete()
        return self.pop_completed()[0]

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.is_between_messages = False
        self._headers = []
        self._body = []
        self._size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._size += len(name) + len(value)
        if self._size > self._most_bytes:
            raise BadResponse
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        status = self._parser.get_status_code()
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        bodiless = status < 200 or status in (204, 304)
        self.is_close_delimited = not framed and not bodiless
        self.keep_alive = framed and self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._size += len(body)
        if self._size > self._most_bytes:
            raise BadResponse
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Finish the answer; interim ones are dropped."""
        self.is_between_messages = True
        status = self._parser.get_status_code()
        if status < 200:
            self.has_interim_response = True
        else:
            answer = HttpResponse(status, tuple(self._headers), b"".join(self._body))
            self._completed.append(answer)
