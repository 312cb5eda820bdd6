"""Parsing of numbers in headers."""

import re

_DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")


def parse_count(value: bytes | None, maximum: int) -> int | None:
    """Return the whole number in a header, or None if there is none.

    A number above `maximum`, however many digits it has, counts as `maximum`.

    >>> parse_count(b"250", 1000), parse_count(b"9" * 5000, 1000)
    (250, 1000)
    >>> parse_count(b"-1", 1000) is None, parse_count(None, 1000) is None
    (True, True)
    """
    if value is None or not value.isdigit():
        return None
    digits = value.lstrip(b"0") or b"0"
    if len(digits) > len(str(maximum)):
        return maximum
    return min(int(digits), maximum)


def parse_signed_count(value: bytes | None, maximum: int) -> int | None:
    """Return the whole number in a header, which may be negative, or None.

    >>> parse_signed_count(b"-250", 1000), parse_signed_count(b"--1", 1000)
    (-250, None)
    """
    if value is not None and value.startswith(b"-"):
        count = parse_count(value[1:], maximum)
        return None if count is None else -count
    return parse_count(value, maximum)


def parse_decimal(value: bytes | None, maximum: float) -> float | None:
    """Return the decimal number in a header, or None if there is none.

    A number above `maximum` counts as `maximum`.

    >>> parse_decimal(b"8.75", 100.0), parse_decimal(b"9" * 500, 100.0)
    (8.75, 100.0)
    >>> [parse_decimal(value, 100.0) for value in (b"-1.5", b"nan", b"1e3", None)]
    [None, None, None, None]
    """
    if value is None or not _DECIMAL.fullmatch(value):
        return None
    return min(float(value), maximum)
