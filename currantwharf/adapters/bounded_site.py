"""A web site that refuses large, slow and malformed input before it is read."""

from typing import Any

from twisted.web import http
from twisted.web.server import Request, Site

HEADER_BYTES = 16_384  # bytes of all headers of a request
HEADER_LINES = 100  # lines
IDLE_S = 15.0  # seconds that a connection may stay silent
BODY_S = 5.0  # seconds that a body may take


class BoundedRequest(Request):
    """A request whose body is bounded in bytes and in time."""

    body_limit = 1_000_000
    _read_timer: Any = None
    _refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a body of unknown or too great length before it is stored."""
        if length is None or length > self.body_limit:
            self._refuse(413 if length else 411)
            # Nothing more of this connection is stored.
            length = 0
        elif length:
            reactor = self.channel.site.reactor  # type: ignore[attr-defined]
            self._read_timer = reactor.callLater(BODY_S, self._on_slow_body)
        super().gotLength(length)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Hand the request on, once its body is whole."""
        self._stop_timer()
        if self._refused:
            return
        super().requestReceived(command, path, version)

    def connectionLost(self, reason: Any) -> None:
        """Forget the timer when the other end is gone."""
        self._stop_timer()
        super().connectionLost(reason)

    def _stop_timer(self) -> None:
        if self._read_timer is not None and self._read_timer.active():
            self._read_timer.cancel()

    def _on_slow_body(self) -> None:
        self._refuse(408)

    def _refuse(self, status: int) -> None:
        self._refused = True
        message = http.RESPONSES.get(status, b"")
        body = b'{"outcome":"not_run","error":{"type":"%s","detail":"%s"}}' % (
            ERROR_TYPES[status],
            message,
        )
        head = b"HTTP/1.1 %d %s\r\ncontent-type: application/json\r\n" % (
            status,
            message,
        )
        tail = b"content-length: %d\r\nconnection: close\r\n\r\n" % len(body)
        self.channel.write(head + tail + body)
        self.channel.loseConnection()


def read_body(request: Request) -> bytes:
    """Return the whole body of a request; it is bounded by its site."""
    return request.content.read() if request.content is not None else b""


ERROR_TYPES = {408: b"body_too_slow", 411: b"length_required", 413: b"body_too_large"}


class QuietSite(Site):
    """A site that writes no access log; the metrics tell of requests."""

    def log(self, request: Any) -> None:
        """Do nothing."""


def make_site(resource: Any, body_limit: int, reactor: Any = None) -> Site:
    """Return a site whose requests carry at most `body_limit` bytes."""

    class LimitedRequest(BoundedRequest):
        pass

    LimitedRequest.body_limit = body_limit
    site = QuietSite(
        resource, requestFactory=LimitedRequest, timeout=IDLE_S, reactor=reactor
    )
    site.displayTracebacks = False
    return site
