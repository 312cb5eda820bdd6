"""A web site that rejects large, slow and malformed input before it is stored."""

from typing import Any

from twisted.web import http
from twisted.web.server import Request, Site

IDLE_TIMEOUT_S = 15.0  # after which a connection without incoming data is closed
BODY_TIMEOUT_S = 5.0  # from the end of the headers to the end of the body


class BoundedRequest(Request):
    """A request whose body is limited in size and in transfer time."""

    max_body_bytes = 1_000_000
    _read_timer: Any = None
    _is_rejected = False

    def gotLength(self, length: int | None) -> None:
        """Reject a body of unknown or excessive length before it is stored."""
        if length is None or length > self.max_body_bytes:
            self._reject(413 if length else 411)
            # The connection is closed, so nothing more of the body is read. With length
            # 0, Twisted creates no temporary file for it.
            length = 0
        elif length:
            reactor = self.channel.site.reactor  # type: ignore[attr-defined]
            self._read_timer = reactor.callLater(BODY_TIMEOUT_S, self._on_body_timeout)
        super().gotLength(length)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process the request once its whole body has arrived, unless rejected."""
        self._cancel_read_timer()
        if self._is_rejected:
            return
        super().requestReceived(command, path, version)

    def connectionLost(self, reason: Any) -> None:
        """Cancel the timer when the other end closes the connection."""
        self._cancel_read_timer()
        super().connectionLost(reason)

    def _cancel_read_timer(self) -> None:
        if self._read_timer is not None and self._read_timer.active():
            self._read_timer.cancel()

    def _on_body_timeout(self) -> None:
        self._reject(408)

    def _reject(self, status: int) -> None:
        self._is_rejected = True
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
    """Return the whole body of a request; the site has limited its size."""
    return request.content.read() if request.content is not None else b""


ERROR_TYPES = {408: b"body_too_slow", 411: b"length_required", 413: b"body_too_large"}


class QuietSite(Site):
    """A site without an access log; the metrics count the requests."""

    def log(self, request: Any) -> None:
        """Write no access log line."""


def make_site(resource: Any, max_body_bytes: int, reactor: Any = None) -> Site:
    """Return a site whose requests have bodies of at most `max_body_bytes`.

    Twisted's HTTP channel limits the request line and all headers together to 16,384
    bytes, and their number to 500.
    """

    class LimitedRequest(BoundedRequest):
        pass

    LimitedRequest.max_body_bytes = max_body_bytes
    site = QuietSite(
        resource, requestFactory=LimitedRequest, timeout=IDLE_TIMEOUT_S, reactor=reactor
    )
    site.displayTracebacks = False
    return site
