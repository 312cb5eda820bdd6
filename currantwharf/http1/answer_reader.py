"""Read the answers that arrive on one connection."""

from typing import Any

import httptools

from currantwharf.http1.message import Header, HttpResponse


class BadAnswer(Exception):  # noqa: N818
    """Bytes arrived that are no answer, or an answer that is larger than allowed."""


class AnswerReader:
    """Collect the answers of a connection, as `httptools` parses them.

    `feed` returns the answers that are whole. `is_between` tells whether the bytes so
    far end where an answer ends, `ends_with_connection` whether the answer under way
    has neither a length nor chunks, `saw_interim` whether an interim answer came.
    """

    def __init__(self, most_bytes: int) -> None:
        self.is_between = True
        self.ends_with_connection = False
        self.keep_alive = True
        self.saw_interim = False
        self._most_bytes = most_bytes
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0
        self._whole: list[HttpResponse] = []

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Take bytes and return the answers that they complete.

        BadAnswer is raised for bytes that are no answer; answers that were whole
        before them are kept for `take_whole`.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadAnswer from exc
        except httptools.HttpParserError as exc:
            raise BadAnswer from exc
        return self.take_whole()

    def take_whole(self) -> list[HttpResponse]:
        """Return the whole answers that were not taken yet."""
        whole, self._whole = self._whole, []
        return whole

    def finish(self) -> HttpResponse | None:
        """Return the answer that the end of its connection completes, if any."""
        if self.is_between or not self.ends_with_connection:
            return None
        self.on_message_complete()
        return self.take_whole()[0]

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.is_between = False
        self._headers = []
        self._body = []
        self._size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._size += len(name) + len(value)
        if self._size > self._most_bytes:
            raise BadAnswer
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        status = self._parser.get_status_code()
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        bodiless = status < 200 or status in (204, 304)
        self.ends_with_connection = not framed and not bodiless
        self.keep_alive = framed and self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._size += len(body)
        if self._size > self._most_bytes:
            raise BadAnswer
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Finish the answer; interim ones are dropped."""
        self.is_between = True
        status = self._parser.get_status_code()
        if status < 200:
            self.saw_interim = True
        else:
            answer = HttpResponse(status, tuple(self._headers), b"".join(self._body))
            self._whole.append(answer)
