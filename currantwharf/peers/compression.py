"""Compression of what instances fetch from each other.

The load: a configuration of up to a megabyte has to reach hundreds of instances in
seconds, over links of 20 Mbit/s. Its routes are much alike, and compress well. An
instance of an earlier build does not ask for compression, and gets none.
"""

import zlib

from currantwharf.http1 import Header, HttpRequest, HttpResponse

ACCEPT_ENCODING = b"accept-encoding"
CONTENT_ENCODING = b"content-encoding"
DEFLATE = b"deflate"
MIN_COMPRESSED_BYTES = 1_000  # a shorter body is sent as it is
MAX_DECOMPRESSED_BYTES = 16_000_000
FASTEST = 1  # higher levels take longer and save little


class UnreadableBodyError(Exception):
    """Raised for a body that is not compressed as its head says, or is too long."""


def compress_answer(
    body: bytes, request: HttpRequest
) -> tuple[tuple[Header, ...], bytes]:
    """Return the headers and the body to answer with, compressed if that is asked for.

    >>> request = HttpRequest(b"GET", b"/", ((ACCEPT_ENCODING, DEFLATE),), b"", True)
    >>> headers, body = compress_answer(b"route " * 1000, request)
    >>> headers, len(body) < 100
    (((b'content-encoding', b'deflate'),), True)
    """
    accepted = (request.get(ACCEPT_ENCODING) or b"").split(b",")
    is_accepted = DEFLATE in (name.strip() for name in accepted)
    if not is_accepted or len(body) < MIN_COMPRESSED_BYTES:
        return (), body
    return ((CONTENT_ENCODING, DEFLATE),), zlib.compress(body, FASTEST)


def decompress_answer(response: HttpResponse) -> bytes:
    """Return the body of an answer, or raise UnreadableBodyError."""
    if response.get(CONTENT_ENCODING) != DEFLATE:
        return response.body
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(response.body, MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise UnreadableBodyError(f"the body is not compressed: {exc}") from exc
    if not decompressor.eof:
        raise UnreadableBodyError(
            f"the body is cut, or longer than {MAX_DECOMPRESSED_BYTES} bytes"
        )
    return body
