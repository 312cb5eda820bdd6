"""The messages of HTTP/1.1, as both sides of the gateway use them."""

from dataclasses import dataclass

Header = tuple[bytes, bytes]

# RFC 9110, section 7.6.1: what concerns one connection only.
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
    """Hold one whole request; the names of its headers are in lower case."""

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
    """Hold one whole answer; the names of its headers are in lower case."""

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of a header.

    >>> find_header(((b"host", b"a"), (b"host", b"b")), b"host")
    b'a'
    """
    for own, value in headers:
        if own == name:
            return value
    return None


def end_to_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are passed on, without those of one connection.

    >>> end_to_end_headers(((b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")))
    ((b'x-b', b'2'),)
    """
    named = find_header(headers, b"connection")
    dropped: frozenset[bytes] | set[bytes] = CONNECTION_HEADERS
    if named is not None:
        dropped = dropped | {part.strip().lower() for part in named.split(b",")}
    return tuple(header for header in headers if header[0] not in dropped)
