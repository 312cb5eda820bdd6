"""HTTP/1.1 messages, common to the connections with callers and servers."""

from collections.abc import Iterable
from dataclasses import dataclass

Header = tuple[bytes, bytes]

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; the names of its headers are in lower case."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    keep_alive: bool

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; the names of its headers are in lower case."""

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header.

    >>> find_header(((b"host", b"a"), (b"host", b"b")), b"host")
    b'a'
    """
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def select_end_to_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers to forward, without those of a single connection.

    >>> headers = ((b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2"))
    >>> select_end_to_end_headers(headers)
    ((b'x-b', b'2'),)
    >>> select_end_to_end_headers(((b"connection", b"close"), *headers))
    ((b'x-b', b'2'),)
    """
    dropped: frozenset[bytes] | set[bytes] = CONNECTION_HEADERS
    for name, value in headers:
        if name == b"connection":
            dropped = dropped | {part.strip().lower() for part in value.split(b",")}
    return tuple(header for header in headers if header[0] not in dropped)
