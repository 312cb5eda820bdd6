"""Encoding of HTTP/1.1 messages as bytes."""

from collections.abc import Iterable
from http import HTTPStatus

from currantwharf.http1.message import Header

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS_STATUSES = frozenset({204, 304})  # responses with these statuses have no body


def encode_headers(headers: Iterable[Header]) -> bytes:
    r"""Return the header lines.

    >>> encode_headers([(b"a", b"1")])
    b'a: 1\r\n'
    """
    return b"".join([b"%s: %s\r\n" % header for header in headers])


def encode_response(
    status: int,
    headers: Iterable[Header],
    body: bytes,
    keep_alive: bool,
    with_body: bool = True,
) -> bytes:
    """Return the bytes of a response, with the length of its body.

    `with_body` is false for the response to a HEAD request. Its headers may have the
    length of the body that it leaves out.
    """
    headers = tuple(headers)
    reason = REASON_PHRASES.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason), encode_headers(headers)]
    declares_length = not with_body and any(h[0] == b"content-length" for h in headers)
    if status not in BODILESS_STATUSES and not declares_length:
        lines.append(b"content-length: %d\r\n" % len(body))
    if not keep_alive:
        lines.append(b"connection: close\r\n")
    lines.append(b"\r\n")
    if with_body and status not in BODILESS_STATUSES:
        lines.append(body)
    return b"".join(lines)


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes = b""
) -> bytes:
    """Return the bytes of a request, with a content-length if it has a body."""
    length = b"content-length: %d\r\n" % len(body) if body else b""
    head = b"%s %s HTTP/1.1\r\n" % (method, target)
    return b"".join((head, encode_headers(headers), length, b"\r\n", body))
