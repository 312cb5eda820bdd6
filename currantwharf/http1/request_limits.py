"""Limits on a caller's requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size of a request in bytes and on its caller's time in seconds.

    `header_s` is the time in which the headers have to arrive, `idle_s` the time
    without data after which a connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 10.0
    idle_s: float = 60.0
