"""Merge the records that the shards of a query returned."""

from collections.abc import Iterable

RECORD_BYTES = 16  # a shorter remainder of a body is ignored


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest `top` records of all bodies, greatest first.

    Records are compared byte by byte; duplicates are kept.

    >>> merge_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"x"], 2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:top])
