"""Read the requests that arrive on one connection."""

from typing import Any

import httptools

from currantwharf.http1.message import Header, HttpRequest
from currantwharf.http1.request_limits import RequestLimits

MAX_TARGET_BYTES = 8_192  # bytes; what servers and proxies commonly accept


class BadRequest(Exception):  # noqa: N818
    """A request that is not accepted; `status` is that of the answer to it."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.why = why


class RequestReader:
    """Collect the requests of a connection, as `httptools` parses them."""

    def __init__(self, limits: RequestLimits) -> None:
        self.limits = limits
        self.is_between_messages = True
        self.is_reading_headers = False
        self.expects_continue = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._completed: list[HttpRequest] = []
        self._begin()

    def feed(self, data: bytes) -> list[HttpRequest]:
        """Take bytes and return the requests that they complete.

        BadRequest is raised for what is not accepted; requests that were whole before
        it are kept for `pop_completed`.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            if isinstance(cause, BadRequest):
                raise cause from None
            raise BadRequest(400, "not a request") from exc
        except httptools.HttpParserUpgrade as exc:
            raise BadRequest(400, "upgrades are not supported") from exc
        except httptools.HttpParserError as exc:
            raise BadRequest(400, "not a request") from exc
        return self.pop_completed()

    def pop_completed(self) -> list[HttpRequest]:
        """Return the whole requests that were not taken yet."""
        whole, self._completed = self._completed, []
        return whole

    def _begin(self) -> None:
        self._target: list[bytes] = []
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._head_size = 0
        self._body_size = 0

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.is_between_messages = False
        self.is_reading_headers = True
        self.expects_continue = False
        self._begin()

    def on_url(self, target: bytes) -> None:
        """Keep a piece of the target."""
        self._head_size += len(target)
        if self._head_size > MAX_TARGET_BYTES:
            raise BadRequest(414, "the target is too long")
        self._target.append(target)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._head_size += len(name) + len(value)
        if self._head_size > self.limits.header_bytes:
            raise BadRequest(431, "the headers are too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check what the headers say of the body."""
        self.is_reading_headers = False
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                self._check_size(int(value))
            elif name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._body_size += len(body)
        self._check_size(self._body_size)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Finish the request."""
        self.is_between_messages = True
        request = HttpRequest(
            self._parser.get_method(),
            b"".join(self._target),
            tuple(self._headers),
            b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        self._completed.append(request)

    def _check_size(self, size: int) -> None:
        if size > self.limits.body_bytes:
            raise BadRequest(413, "the body is too large")
